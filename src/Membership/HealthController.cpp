#include <snipepost/Membership/HealthController.h>

#include <algorithm>

#include <snipepost/Membership/ViewController.h>

namespace snipepost {

namespace {

/// Probes in a row that must stay unanswered before a vote: one or two are
/// lost often enough on a link between failure domains.
constexpr unsigned kProbesLostForVote = 3;
constexpr double kProbeSpread = 0.1;

bool
Probes(const Blackboard& aBoard,
       const Member& aMember,
       const InstanceRecord& aTarget)
{
  const InstanceRecord& record = aMember.mRecord;
  return record.mRole == InstanceRole::Entry &&
         record.mState != InstanceState::Left &&
         record.mRegion == aTarget.mRegion && MayContact(aBoard, record) &&
         record.mAddress != aTarget.mAddress &&
         !aBoard.mSuspects.contains(record.mAddress);
}

} // namespace

std::vector<Address>
ProbersOf(const Blackboard& aBoard, const InstanceRecord& aTarget)
{
  std::vector<Address> probers;
  for (const auto& [address, member] : aBoard.mMembers) {
    if (Probes(aBoard, member, aTarget)) {
      probers.push_back(address);
    }
  }
  const uint64_t key = RankKey(aTarget.mAddress);
  const size_t wanted = std::min(kProbersPerTarget, probers.size());
  std::partial_sort(probers.begin(),
                    probers.begin() + static_cast<std::ptrdiff_t>(wanted),
                    probers.end(),
                    [key](const Address& aLeft, const Address& aRight) {
                      return RanksBefore(key, aLeft, aRight);
                    });
  probers.resize(wanted);
  return probers;
}

void
HealthController::Step(Blackboard& aBoard,
                       const MembershipEvent& aEvent,
                       Instant aNow,
                       Random& aRandom,
                       MembershipEffects& aEffects)
{
  if (std::holds_alternative<ClockTick>(aEvent)) {
    OnTick(aBoard, aNow, aRandom, aEffects);
  } else if (const auto* answer = std::get_if<ProbeAnswered>(&aEvent)) {
    OnAnswer(aBoard, answer->mFrom);
  }
  // Every change of a vote changes the digest.
  if (mSuspectedDigest != aBoard.mDigest) {
    DeriveSuspects(aBoard);
    mSuspectedDigest = aBoard.mDigest;
  }
}

void
HealthController::OnTick(Blackboard& aBoard,
                         Instant aNow,
                         Random& aRandom,
                         MembershipEffects& aEffects)
{
  if (mAssignedRevision != aBoard.mRevision) {
    Assign(aBoard, aNow, aRandom);
    mAssignedRevision = aBoard.mRevision;
  }
  for (auto& [address, target] : mTargets) {
    if (aNow < target.mNextProbe) {
      continue;
    }
    if (target.mUnanswered > 0) {
      ++aBoard.mCounters.mProbesLost;
    }
    if (target.mUnanswered >= kProbesLostForVote && !target.mDown) {
      target.mDown = true;
      Vote(aBoard, address, true);
    }
    ++target.mUnanswered;
    target.mNextProbe =
      aNow + aRandom.Jittered(aBoard.mOptions.mProbeInterval, kProbeSpread);
    ++aBoard.mCounters.mProbesSent;
    aEffects.emplace_back(SendProbe{ address });
  }
}

void
HealthController::OnAnswer(Blackboard& aBoard, const Address& aFrom)
{
  const auto found = mTargets.find(aFrom);
  if (found == mTargets.end()) {
    return;
  }
  found->second.mUnanswered = 0;
  if (found->second.mDown) {
    found->second.mDown = false;
    Vote(aBoard, aFrom, false);
  }
}

void
HealthController::Assign(Blackboard& aBoard, Instant aNow, Random& aRandom)
{
  std::map<Address, Target> targets;
  mProbers.clear();
  for (const auto& [address, member] : aBoard.mMembers) {
    if (member.mRecord.mState == InstanceState::Left ||
        !MayContact(aBoard, member.mRecord)) {
      continue;
    }
    auto& probers = mProbers[address];
    probers = ProbersOf(aBoard, member.mRecord);
    const bool assigned =
      std::find(probers.begin(), probers.end(), aBoard.mOwn.mAddress) !=
      probers.end();
    if (!assigned) {
      continue;
    }
    const auto known = mTargets.find(address);
    if (known != mTargets.end()) {
      targets.emplace(address, known->second);
      continue;
    }
    // The first probe is spread over an interval, so that a new view does not
    // cause a burst.
    Target target;
    target.mNextProbe =
      aNow + aRandom.Jittered(aBoard.mOptions.mProbeInterval / 2, 1.0);
    const auto vote = aBoard.mVotes.find({ address, aBoard.mOwn.mAddress });
    target.mDown = vote != aBoard.mVotes.end() && vote->second.mDown;
    targets.emplace(address, target);
  }
  mTargets = std::move(targets);
  DeriveSuspects(aBoard);
}

void
HealthController::Vote(Blackboard& aBoard, const Address& aTarget, bool aDown)
{
  HealthVote vote;
  vote.mTarget = aTarget;
  vote.mProber = aBoard.mOwn.mAddress;
  vote.mDown = aDown;
  vote.mVersion = { aBoard.mOwn.mVersion.mIncarnation, ++mVoteCount };
  MergeVote(aBoard, vote);
  aBoard.mUrgentExchanges = std::max(aBoard.mUrgentExchanges, 2U);
}

void
HealthController::DeriveSuspects(Blackboard& aBoard) const
{
  std::set<Address> suspects;
  for (const auto& [target, probers] : mProbers) {
    size_t down = 0;
    for (const Address& prober : probers) {
      const auto vote = aBoard.mVotes.find({ target, prober });
      down += vote != aBoard.mVotes.end() && vote->second.mDown ? 1 : 0;
    }
    const bool most =
      2 * down > probers.size() || !aBoard.mOptions.mGuards.mVoteMajority;
    if (down > 0 && most) {
      suspects.insert(target);
    }
  }
  if (suspects != aBoard.mSuspects) {
    aBoard.mSuspects = std::move(suspects);
    ++aBoard.mRevision;
  }
}

} // namespace snipepost
