#include <snipepost/Membership/AnnouncementController.h>

#include <snipepost/Membership/Codec.h>

namespace snipepost {

using namespace std::chrono_literals;

namespace {

/// A record is renewed when a third of its lease has passed, so that two
/// renewals may fail before it lapses.
constexpr int kRenewalsPerLease = 3;
constexpr double kRenewalSpread = 0.2;
/// While the store is out, a probe this recent stands in for the lease: an
/// entry instance still regards this instance as live.
constexpr Duration kProbeConfirms = 3s;
/// After a store outage the whole fleet is due for renewal. A cap of 10 s
/// brought 52 writes/s from 250 instances; probes keep the leases meanwhile.
constexpr Duration kRetryFirst = 1s;
constexpr Duration kRetryCap = 60s;
/// How long an entry instance counts as a prober after its last probe.
constexpr Duration kProberMemory = 10s;

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
  : mDelay(kRetryFirst, kRetryCap)
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
      return aProber.second + kProberMemory < aNow;
    });
  }
  if (!aBoard.mStore.mReachable && !mSuperseded) {
    aBoard.mOwnLeaseEnd = std::max(aBoard.mOwnLeaseEnd, aNow + kProbeConfirms);
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
  if (!mKnowsStored) {
    mCall = Call::Read;
    ++aBoard.mCounters.mStoreReads;
    aEffects.emplace_back(StoreRead{ RecordKey(aBoard.mOwn) });
    return;
  }
  mCall = Call::Write;
  mWriting = aBoard.mOwn.mVersion;
  ++aBoard.mCounters.mStoreWrites;
  aEffects.emplace_back(StoreWrite{ RecordKey(aBoard.mOwn),
                                    WriteRecord(aBoard.mOwn),
                                    mStored,
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
    mKnowsStored = true;
    mStored.reset();
    mNextCall = aNow;
    return;
  }
  if (aEvent.mOutcome != ObjectOutcome::Done) {
    Failed(aBoard, aNow, aRandom);
    return;
  }
  const auto record = ParseRecord(aEvent.mObject.mValue);
  if (record && aBoard.mOptions.mGuards.mFencing &&
      record->mVersion.mIncarnation > aBoard.mOwn.mVersion.mIncarnation) {
    mSuperseded = true;
    aBoard.mOwnLeaseEnd = aNow;
    return;
  }
  mKnowsStored = true;
  mStored = aEvent.mObject.mVersion;
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
    mStored = aEvent.mVersion;
    mPublished = mWriting;
    Renewed(aBoard, aNow, aRandom);
    return;
  }
  if (aEvent.mOutcome == ObjectOutcome::Refused) {
    Failed(aBoard, aNow, aRandom);
    return;
  }
  // The stored version is not the expected one, or the write may have taken
  // effect: read before writing again.
  mKnowsStored = false;
  if (aEvent.mOutcome == ObjectOutcome::Unknown) {
    Failed(aBoard, aNow, aRandom);
  } else {
    mNextCall = aNow;
  }
}

void
AnnouncementController::Renewed(Blackboard& aBoard,
                                Instant aNow,
                                Random& aRandom)
{
  mDelay.Reset();
  ++aBoard.mCounters.mLeaseRenewals;
  // The lease counts from before the write was sent: the store's own clock
  // may have started it no earlier.
  aBoard.mOwnLeaseEnd = mCallStarted + aBoard.mOptions.mLease;
  mNextCall =
    aNow + aRandom.Jittered(aBoard.mOptions.mLease / kRenewalsPerLease,
                            kRenewalSpread);
}

void
AnnouncementController::Failed(Blackboard& aBoard,
                               Instant aNow,
                               Random& aRandom)
{
  ++aBoard.mCounters.mStoreFailures;
  mNextCall = aNow + mDelay.Next(aRandom);
}

} // namespace snipepost
