#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

namespace snipepost::flow {

/// Exponentially weighted mean of durations. The first samples have equal
/// weights, so that no initial value remains in the mean.
class DurationMean
{
public:
  /// Adds a sample; counts a shorter one as 1 us, and a longer one as 4 s.
  void Add(Duration aSample);
  /// The sample, but at most a multiple of the mean, so that the effect of a
  /// single outlier is bounded. The first four samples are not limited.
  Duration Limited(Duration aSample) const;

  bool IsEmpty() const { return mSamples == 0; }
  /// Whether Limited() limits samples.
  bool LimitsSamples() const;
  /// Zero before the first sample.
  Duration Mean() const { return Duration(mNanoseconds); }

private:
  uint32_t mNanoseconds = 0;
  /// Samples so far, counted up to the number that the mean extends over.
  uint8_t mSamples = 0;
};

/// Capacity of a backend server, estimated from what its agent observes: the
/// service time of each route, the opening time of flows, and the length of the
/// server's own queue. Its estimates are valid for one incarnation of the
/// server. Does no I/O; the time is an argument.
class BackendCapacity
{
public:
  /// Routes with an estimate of their own.
  static constexpr size_t kMaxRoutes = 32;

  /// A caller's first data arrived aOpeningTime after its SYN had been
  /// forwarded to the server.
  void OnOpened(Duration aOpeningTime);
  /// A request of a route occupied a slot for aTime.
  void OnServed(const Address& aRoute, Duration aTime);
  /// The server returned a SYN while aLoad other requests were there.
  void OnSynReturned(uint32_t aLoad, uint32_t aSlots, Instant aNow);

  /// Expected time that a request of the route occupies a slot: the mean of the
  /// route's requests, or of all requests when the route has no estimate.
  Duration ServiceTime(const Address& aRoute) const;
  /// Mean over the requests of all routes; an assumed one before the first.
  Duration MeanServiceTime() const;
  /// Mean over the requests of all routes; nothing before the first.
  std::optional<Duration> MeasuredServiceTime() const;
  /// Requests that the server queues beyond its slots.
  uint32_t QueueLimit(Instant aNow) const;
  /// Flows to forward beyond the slots, so that no slot is idle while the next
  /// caller's data is in transit. 0 only while the queue limit is 0.
  uint32_t LookAhead(uint32_t aSlots, Instant aNow) const;

private:
  /// Initial and highest queue limit.
  static constexpr uint32_t kMaxQueueLimit = 16;

  struct RouteEstimate
  {
    Address mRoute{};
    /// Value of mRequests at the latest sample.
    uint32_t mLastRequest = 0;
    DurationMean mServiceTime{};
  };

  /// The estimate to add a sample of the route to; null when all estimates
  /// belong to other routes that are in use.
  DurationMean* EstimateFor(const Address& aRoute);

  DurationMean mServiceTime;
  DurationMean mOpeningTime;
  std::vector<RouteEstimate> mRoutes;
  /// Requests served; wraps around.
  uint32_t mRequests = 0;
  /// The queue limit at mLimitSince; it rises from then on.
  uint32_t mQueueLimit = kMaxQueueLimit;
  Instant mLimitSince;
};

} // namespace snipepost::flow
