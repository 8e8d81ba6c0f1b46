#include <snipepost/Membership/AnnouncementController.h>

#include <snipepost/Membership/Codec.h>

namespace snipepost {

using namespace std::chrono_literals;

namespace {

/// A record is renewed after a third of its lease, so that two renewals may
/// fail before it expires.
constexpr int kRenewalsPerLease = 3;
constexpr double kRenewalJitter = 0.2;
/// While the store is unreachable, a probe extends the lease to this time after
/// its arrival, because the prober still has this instance in its view.
constexpr Duration kProbeLeaseExtension = 3s;
/// Bounds of the delay after a failed call. After a store outage the whole
/// fleet is due for renewal: with a maximum of 10 s, 250 instances cause 52
/// writes/s. Probes extend the leases meanwhile.
constexpr Duration kRetryDelayMin = 1s;
constexpr Duration kRetryDelayMax = 60s;
/// An entry instance stops counting as a prober this long after its last probe.
constexpr Duration kProberExpiry = 10s;

} // namespace

std::string
RecordKey(const InstanceRecord& aRecord)
{
  if (aRecord.mRole == InstanceRole::Entry) {
    return "entries/" + ToString(aRecord.mAddress);
  }
  return "endpoints/" + std::to_string(aRecord.mService.Value()) + "/" +
         ToString(aRecord.mAddress);
}

AnnouncementController::AnnouncementController()
  : mDelay(kRetryDelayMin, kRetryDelayMax)
{
}

void
AnnouncementController::Step(Blackboard& aBoard,
                             const MembershipEvent& aEvent,
                             Instant aNow,
                             Random& aRandom,
                             MembershipEffects& aEffects)
{
  if (std::holds_alternative<ClockTick>(aEvent)) {
    OnTick(aBoard, aNow, aEffects);
  } else if (const auto* read = std::get_if<StoreReadEnded>(&aEvent)) {
    OnRead(aBoard, *read, aNow, aRandom);
  } else if (const auto* write = std::get_if<StoreWriteEnded>(&aEvent)) {
    OnWrite(aBoard, *write, aNow, aRandom);
  } else if (const auto* probe = std::get_if<ProbeReceived>(&aEvent)) {
    OnProbe(aBoard, *probe, aNow);
  }
}

void
AnnouncementController::OnProbe(Blackboard& aBoard,
                                const ProbeReceived& aEvent,
                                Instant aNow) const
{
  if (aBoard.mOwn.mRole == InstanceRole::Agent) {
    aBoard.mProbers[aEvent.mFrom] = aNow;
    std::erase_if(aBoard.mProbers, [aNow](const auto& aProber) {
      return aProber.second + kProberExpiry < aNow;
    });
  }
  if (!aBoard.mStore.mReachable && !mSuperseded) {
    aBoard.mOwnLeaseEnd =
      std::max(aBoard.mOwnLeaseEnd, aNow + kProbeLeaseExtension);
  }
}

void
AnnouncementController::OnTick(Blackboard& aBoard,
                               Instant aNow,
                               MembershipEffects& aEffects)
{
  const bool changed = mPublished != aBoard.mOwn.mVersion;
  const bool due = aNow >= mNextCall || (changed && aBoard.mStore.mReachable);
  if (mCall != Call::None || mSuperseded || !due) {
    return;
  }
  mCallStarted = aNow;
  if (!mStoredVersionRead) {
    mCall = Call::Read;
    ++aBoard.mCounters.mStoreReads;
    aEffects.emplace_back(StoreRead{ RecordKey(aBoard.mOwn) });
    return;
  }
  mCall = Call::Write;
  mVersionInFlight = aBoard.mOwn.mVersion;
  ++aBoard.mCounters.mStoreWrites;
  aEffects.emplace_back(StoreWrite{ RecordKey(aBoard.mOwn),
                                    WriteRecord(aBoard.mOwn),
                                    mStoredVersion,
                                    aBoard.mOptions.mLease });
}

void
AnnouncementController::OnRead(Blackboard& aBoard,
                               const StoreReadEnded& aEvent,
                               Instant aNow,
                               Random& aRandom)
{
  if (mCall != Call::Read || aEvent.mKey != RecordKey(aBoard.mOwn)) {
    return;
  }
  mCall = Call::None;
  if (aEvent.mOutcome == ObjectOutcome::Absent) {
    mStoredVersionRead = true;
    mStoredVersion.reset();
    mNextCall = aNow;
    return;
  }
  if (aEvent.mOutcome != ObjectOutcome::Done) {
    OnFailed(aBoard, aNow, aRandom);
    return;
  }
  const auto record = ParseRecord(aEvent.mObject.mValue);
  if (record && aBoard.mOptions.mSafeguards.mFencing &&
      record->mVersion.mIncarnation > aBoard.mOwn.mVersion.mIncarnation) {
    mSuperseded = true;
    aBoard.mOwnLeaseEnd = aNow;
    return;
  }
  mStoredVersionRead = true;
  mStoredVersion = aEvent.mObject.mVersion;
  mNextCall = aNow;
}

void
AnnouncementController::OnWrite(Blackboard& aBoard,
                                const StoreWriteEnded& aEvent,
                                Instant aNow,
                                Random& aRandom)
{
  if (mCall != Call::Write || aEvent.mKey != RecordKey(aBoard.mOwn)) {
    return;
  }
  mCall = Call::None;
  if (aEvent.mOutcome == ObjectOutcome::Done) {
    mStoredVersion = aEvent.mVersion;
    mPublished = mVersionInFlight;
    OnRenewed(aBoard, aNow, aRandom);
    return;
  }
  if (aEvent.mOutcome == ObjectOutcome::Refused) {
    OnFailed(aBoard, aNow, aRandom);
    return;
  }
  // Either the stored version is not the expected one or the write may have
  // taken effect: read before writing again.
  mStoredVersionRead = false;
  if (aEvent.mOutcome == ObjectOutcome::Unknown) {
    OnFailed(aBoard, aNow, aRandom);
  } else {
    mNextCall = aNow;
  }
}

void
AnnouncementController::OnRenewed(Blackboard& aBoard,
                                  Instant aNow,
                                  Random& aRandom)
{
  mDelay.Reset();
  ++aBoard.mCounters.mLeaseRenewals;
  // The lease is counted from the start of the call, since the store can't have
  // started it earlier.
  aBoard.mOwnLeaseEnd = mCallStarted + aBoard.mOptions.mLease;
  mNextCall =
    aNow + aRandom.Jittered(aBoard.mOptions.mLease / kRenewalsPerLease,
                            kRenewalJitter);
}

void
AnnouncementController::OnFailed(Blackboard& aBoard,
                                 Instant aNow,
                                 Random& aRandom)
{
  ++aBoard.mCounters.mStoreFailures;
  mNextCall = aNow + mDelay.Next(aRandom);
}

} // namespace snipepost
