#include <snipepost/Flow/BackendCapacity.h>

#include <algorithm>
#include <cmath>

namespace snipepost::flow {

namespace {

/// Flows of the look-ahead beyond the mean demand. Opening and service times
/// vary, and a slot that waits for a caller's data is lost.
constexpr double kSpareFlows = 2.0;

/// Samples that a mean extends over; the weight of a sample is at least the
/// reciprocal.
constexpr uint8_t kMeanSamples = 16;
/// Shortest sample. The limit of outliers is relative to the mean, which could
/// not rise again from zero.
constexpr Duration kMinSample = std::chrono::microseconds(1);
/// Longest sample. 4 s of nanoseconds fit in 32 bits, and a request that takes
/// 5 s is considered lost.
constexpr Duration kMaxSample = std::chrono::seconds(4);
/// Limit of a sample as a multiple of the mean, and the samples from which the
/// mean is reliable enough to limit others. A single outlier then raises the
/// mean by a factor of at most 2.4, and of 1.44 from 15 samples on.
constexpr int kMaxSampleFactor = 8;
constexpr uint8_t kMinSamplesToLimit = 4;

/// Service time assumed before the first response.
constexpr Duration kInitialServiceTime = std::chrono::milliseconds(25);

/// A route without a sample among this many requests is no longer in use; at
/// equal rates, kMaxRoutes routes have 16 samples each in that time. Replacing
/// routes that are in use would leave each with few samples when there are more
/// than kMaxRoutes.
constexpr uint32_t kRouteIdleRequests = 512;

/// Time without a returned SYN after which the queue limit rises by one. Each
/// rise above the server's limit costs about one returned SYN.
constexpr Duration kLimitRiseInterval = std::chrono::seconds(5);

} // namespace

void
DurationMean::Add(Duration aSample)
{
  mSamples = std::min<uint8_t>(mSamples + 1, kMeanSamples);
  const Duration sample = std::clamp(aSample, kMinSample, kMaxSample);
  const Duration mean = Mean() + (sample - Mean()) / mSamples;
  mNanoseconds = static_cast<uint32_t>(mean.count());
}

bool
DurationMean::LimitsSamples() const
{
  return mSamples >= kMinSamplesToLimit;
}

Duration
DurationMean::Limited(Duration aSample) const
{
  return LimitsSamples() ? std::min(aSample, Mean() * kMaxSampleFactor)
                         : aSample;
}

void
BackendCapacity::OnOpened(Duration aOpeningTime)
{
  mOpeningTime.Add(mOpeningTime.Limited(aOpeningTime));
}

// Requests of a slow route are no outliers in the mean of all. Limiting them by
// that mean would make it too low, so they are limited by the mean of their
// route.
void
BackendCapacity::OnServed(const Address& aRoute, Duration aTime)
{
  ++mRequests;
  DurationMean* own = EstimateFor(aRoute);
  const bool limitedByOwn = own != nullptr && own->LimitsSamples();
  const DurationMean& reference = limitedByOwn ? *own : mServiceTime;
  mServiceTime.Add(reference.Limited(aTime));
  if (own != nullptr) {
    own->Add(own->Limited(aTime));
  }
}

DurationMean*
BackendCapacity::EstimateFor(const Address& aRoute)
{
  auto found = std::ranges::find(mRoutes, aRoute, &RouteEstimate::mRoute);
  if (found == mRoutes.end() && mRoutes.size() < kMaxRoutes) {
    found = mRoutes.insert(mRoutes.end(), RouteEstimate{ aRoute });
  } else if (found == mRoutes.end()) {
    const auto idleRequests = [this](const RouteEstimate& aEstimate) {
      return mRequests - aEstimate.mLastRequest;
    };
    found = std::ranges::max_element(mRoutes, {}, idleRequests);
    if (idleRequests(*found) <= kRouteIdleRequests) {
      return nullptr;
    }
    *found = RouteEstimate{ aRoute };
  }
  found->mLastRequest = mRequests;
  return &found->mServiceTime;
}

// A SYN that is returned while a slot is free shows that the server is not
// ready or has ended, and nothing about its queue.
void
BackendCapacity::OnSynReturned(uint32_t aLoad, uint32_t aSlots, Instant aNow)
{
  const uint32_t slots = std::max(aSlots, 1U);
  if (aLoad < slots) {
    return;
  }
  mQueueLimit = std::min(QueueLimit(aNow), aLoad - slots);
  mLimitSince = aNow;
}

Duration
BackendCapacity::ServiceTime(const Address& aRoute) const
{
  const auto found = std::ranges::find(mRoutes, aRoute, &RouteEstimate::mRoute);
  return found == mRoutes.end() ? MeanServiceTime()
                                : found->mServiceTime.Mean();
}

Duration
BackendCapacity::MeanServiceTime() const
{
  return mServiceTime.IsEmpty() ? kInitialServiceTime : mServiceTime.Mean();
}

std::optional<Duration>
BackendCapacity::MeasuredServiceTime() const
{
  return mServiceTime.IsEmpty() ? std::nullopt
                                : std::optional(mServiceTime.Mean());
}

uint32_t
BackendCapacity::QueueLimit(Instant aNow) const
{
  const int64_t rises =
    std::max<int64_t>((aNow - mLimitSince) / kLimitRiseInterval, 0);
  return static_cast<uint32_t>(
    std::min<int64_t>(mQueueLimit + rises, kMaxQueueLimit));
}

uint32_t
BackendCapacity::LookAhead(uint32_t aSlots, Instant aNow) const
{
  const uint32_t limit = QueueLimit(aNow);
  // Computed in floating point because the product can exceed 64 bits.
  const double opening = std::ceil(
    std::max(aSlots, 1U) * static_cast<double>(mOpeningTime.Mean().count()) /
    static_cast<double>(MeanServiceTime().count()));
  return static_cast<uint32_t>(std::min<double>(opening + kSpareFlows, limit));
}

} // namespace snipepost::flow
