#include <snipepost/Flow/AdmissionGate.h>

#include <algorithm>

namespace snipepost::flow {

namespace {

/// Requests that a backend server queues beyond its slots before it sheds.
constexpr uint32_t kBackendQueue = 16;
/// Places of that queue kept for unsafe requests, whose worth is double.
constexpr uint32_t kUnsafeReserve = 4;

/// Part of the objective within which a slot is expected to be free and the
/// work to be done; the rest is for the paths, earlier offers and longer work.
constexpr double kWorkShare = 0.65;
/// The same for copies: their answer is late in any case, and must not make
/// that of a fresh request late as well.
constexpr double kCopyWorkShare = 0.4;

/// Longest wait that a last offer is taken for.
Duration
LongestWait(const AdmissionInputs& aInputs)
{
  if (aInputs.mKind == cluster::RequestKind::Unsafe) {
    return aInputs.mTimeout / 2;
  }
  const double share = aInputs.mCopy ? kCopyWorkShare : kWorkShare;
  const auto limit =
    std::chrono::duration_cast<Duration>(aInputs.mObjective * share);
  return limit - aInputs.mServiceTime;
}

Refusal
AdmitByLoad(const AdmissionInputs& aInputs)
{
  const uint32_t slots = std::max(aInputs.mSlots, 1U);
  const bool isUnsafe = aInputs.mKind == cluster::RequestKind::Unsafe;
  const uint32_t queue =
    isUnsafe ? kBackendQueue : kBackendQueue - kUnsafeReserve;
  if (aInputs.mLoad >= slots + queue) {
    return Refusal::Full;
  }
  if (aInputs.mLoad < slots) {
    return Refusal::None;
  }
  if (aInputs.mMark == TransitMark::OfferFree) {
    return Refusal::Busy;
  }
  const Duration wait =
    ExpectedWait(aInputs.mLoad, slots, aInputs.mServiceTime);
  return wait > LongestWait(aInputs) ? Refusal::Full : Refusal::None;
}

} // namespace

Duration
ExpectedWait(uint32_t aLoad, uint32_t aSlots, Duration aServiceTime)
{
  if (aLoad < aSlots) {
    return Duration::zero();
  }
  return aServiceTime * (aLoad - aSlots + 1) / std::max(aSlots, 1U);
}

Refusal
Admit(const AdmissionInputs& aInputs)
{
  if (!aInputs.mServiceMatches) {
    return Refusal::WrongService;
  }
  if (!aInputs.mReady) {
    return Refusal::NotReady;
  }
  if (aInputs.mEvacuated) {
    return Refusal::Evacuated;
  }
  if (aInputs.mDraining) {
    return Refusal::Draining;
  }
  if (aInputs.mSilent) {
    return Refusal::Silent;
  }
  if (aInputs.mCold && aInputs.mColdBudget == 0) {
    return Refusal::Cold;
  }
  if (aInputs.mFlows >= aInputs.mMaxFlows) {
    return Refusal::Full;
  }
  return AdmitByLoad(aInputs);
}

} // namespace snipepost::flow
