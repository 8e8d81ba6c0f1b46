#include <snipepost/Flow/AdmissionGate.h>

#include <algorithm>

namespace snipepost::flow {

namespace {

/// Queue length of a backend server beyond its slots; it sheds further
/// requests.
constexpr uint32_t kBackendQueueLimit = 16;
/// Queue positions reserved for unsafe requests, which have twice the value of
/// safe ones.
constexpr uint32_t kUnsafeQueueReserve = 4;

/// Share of the objective that the expected wait and the service time may use;
/// the rest covers network paths, earlier offers and longer service times.
constexpr double kWorkShare = 0.65;
/// The share for SYN retransmissions. Their responses are late in any case and
/// must not make the responses to new requests late, too.
constexpr double kRetransmissionWorkShare = 0.4;

/// Longest expected wait with which a final offer is accepted.
Duration
LongestWait(const AdmissionInputs& aInputs)
{
  if (aInputs.mKind == cluster::RequestKind::Unsafe) {
    return aInputs.mTimeout / 2;
  }
  const double share =
    aInputs.mRetransmission ? kRetransmissionWorkShare : kWorkShare;
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
    isUnsafe ? kBackendQueueLimit : kBackendQueueLimit - kUnsafeQueueReserve;
  if (aInputs.mLoad >= slots + queue) {
    return Refusal::Full;
  }
  if (aInputs.mLoad < slots) {
    return Refusal::None;
  }
  if (aInputs.mMark == TransitMark::OfferIfFree) {
    return Refusal::Busy;
  }
  const Duration wait =
    TimeToFreeSlot(aInputs.mLoad, slots, aInputs.mServiceTime);
  return wait > LongestWait(aInputs) ? Refusal::Full : Refusal::None;
}

} // namespace

Duration
TimeToFreeSlot(uint32_t aLoad, uint32_t aSlots, Duration aServiceTime)
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
  if (aInputs.mUnresponsive) {
    return Refusal::Silent;
  }
  if (aInputs.mCold && aInputs.mColdBudget == 0) {
    return Refusal::Cold;
  }
  if (aInputs.mFlows >= aInputs.mMaxFlows) {
    return Refusal::Full;
  }
  return aInputs.mScheduled ? Refusal::None : AdmitByLoad(aInputs);
}

} // namespace snipepost::flow
