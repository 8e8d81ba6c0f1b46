#include <snipepost/Membership/HealthController.h>

#include <algorithm>
#include <array>
#include <utility>

#include <snipepost/Membership/ViewController.h>

namespace snipepost {

namespace {

/// Consecutive unanswered probes before a down vote: one or two are often lost
/// on a link between failure domains.
constexpr unsigned kProbesLostForVote = 3;
constexpr double kProbeJitter = 0.1;
/// An unanswered probe is repeated after a quarter of the interval, 250 ms by
/// default: the loss of three is detected within 1.75 s plus jitter. A constant
/// interval of 500 ms would need more probes and detect the loss later. A round
/// trip between failure domains is far shorter (8 ms plus jitter), so a late
/// reply does not count as a loss.
constexpr int kProbesPerIntervalWhenUnanswered = 4;
/// A target that is down is probed at half the interval, which detects its
/// recovery within 500 ms without the load of the fast repetitions.
constexpr int kProbesPerIntervalWhenDown = 2;

/// Returns the first kProbersPerTarget candidates in rendezvous order for the
/// target, without the target itself. Each weight is computed once.
std::vector<Address>
TopRanked(const std::vector<Address>& aCandidates, const Address& aTarget)
{
  using Ranked = std::pair<uint64_t, Address>;
  const auto before = [](const Ranked& aLeft, const Ranked& aRight) {
    return aLeft.first != aRight.first ? aLeft.first > aRight.first
                                       : aLeft.second < aRight.second;
  };
  const uint64_t key = RankKey(aTarget);
  std::array<Ranked, kProbersPerTarget + 1> first;
  size_t count = 0;
  for (const Address& candidate : aCandidates) {
    if (candidate == aTarget) {
      continue;
    }
    size_t at = count;
    const Ranked ranked(RankWeight(key, candidate), candidate);
    for (; at > 0 && before(ranked, first[at - 1]); --at) {
      first[at] = first[at - 1];
    }
    first[at] = ranked;
    count = std::min(count + 1, kProbersPerTarget);
  }
  std::vector<Address> probers(count);
  std::transform(first.begin(),
                 first.begin() + static_cast<std::ptrdiff_t>(count),
                 probers.begin(),
                 [](const Ranked& aRanked) { return aRanked.second; });
  return probers;
}

bool
HasDownVote(const Blackboard& aBoard,
            const Address& aTarget,
            const Address& aProber)
{
  const auto vote = aBoard.mVotes.find({ aTarget, aProber });
  return vote != aBoard.mVotes.end() && vote->second.mDown;
}

} // namespace

ProberCandidates
CandidatesByRegion(const Blackboard& aBoard)
{
  ProberCandidates candidates;
  for (const auto& [address, member] : aBoard.mMembers) {
    const InstanceRecord& record = member.mRecord;
    if (record.mRole == InstanceRole::Entry &&
        record.mState != InstanceState::Left && MayContact(aBoard, record) &&
        !aBoard.mSuspects.contains(address)) {
      candidates[record.mRegion].push_back(address);
    }
  }
  return candidates;
}

std::vector<Address>
ProbersOf(const ProberCandidates& aCandidates, const InstanceRecord& aTarget)
{
  const auto region = aCandidates.find(aTarget.mRegion);
  return region == aCandidates.end()
           ? std::vector<Address>()
           : TopRanked(region->second, aTarget.mAddress);
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
  } else if (const auto* reply = std::get_if<ProbeReplyReceived>(&aEvent)) {
    OnReply(aBoard, reply->mFrom);
  }
  // Every change of a vote changes the digest.
  if (mSuspectsDigest != aBoard.mDigest) {
    DeriveSuspects(aBoard);
    mSuspectsDigest = aBoard.mDigest;
  }
}

void
HealthController::OnTick(Blackboard& aBoard,
                         Instant aNow,
                         Random& aRandom,
                         MembershipEffects& aEffects)
{
  if (mAssignedRevision != aBoard.mViewRevision) {
    Assign(aBoard, aNow, aRandom);
    mAssignedRevision = aBoard.mViewRevision;
  }
  AdvanceProbes(aBoard, aNow, aRandom);
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
    const Duration interval =
      aRandom.Jittered(aBoard.mOptions.mProbeInterval, kProbeJitter);
    target.mNextIfReplied = aNow + interval;
    target.mNextProbe =
      aNow + interval / (target.mDown ? kProbesPerIntervalWhenDown
                                      : kProbesPerIntervalWhenUnanswered);
    ++aBoard.mCounters.mProbesSent;
    aEffects.emplace_back(SendProbe{ address });
  }
}

// Agents learn of a new document soonest from the generation in a probe, so
// probes must not wait for the end of their interval.
void
HealthController::AdvanceProbes(const Blackboard& aBoard,
                                Instant aNow,
                                Random& aRandom)
{
  if (mProbesAdvancedFor == aBoard.mDocument.mVersion) {
    return;
  }
  mProbesAdvancedFor = aBoard.mDocument.mVersion;
  for (auto& [address, target] : mTargets) {
    // An unanswered probe is repeated soon anyway and keeps its schedule.
    if (target.mUnanswered == 0) {
      target.mNextProbe = std::min(
        target.mNextProbe,
        aNow + aRandom.Jittered(aBoard.mOptions.mProbeInterval / 4, 1.0));
    }
  }
}

void
HealthController::OnReply(Blackboard& aBoard, const Address& aFrom)
{
  const auto found = mTargets.find(aFrom);
  if (found == mTargets.end()) {
    return;
  }
  found->second.mUnanswered = 0;
  found->second.mNextProbe = found->second.mNextIfReplied;
  if (found->second.mDown) {
    found->second.mDown = false;
    Vote(aBoard, aFrom, false);
  }
}

void
HealthController::Assign(Blackboard& aBoard, Instant aNow, Random& aRandom)
{
  std::map<Address, Target> targets;
  // Most changes don't affect the candidates; the probers of known targets are
  // then reused.
  ProberCandidates candidates = CandidatesByRegion(aBoard);
  const Assignments before = std::exchange(mAssignments, {});
  const bool reusable = candidates == mCandidates;
  mCandidates = std::move(candidates);
  for (const auto& [address, member] : aBoard.mMembers) {
    if (member.mRecord.mState == InstanceState::Left ||
        !MayContact(aBoard, member.mRecord)) {
      continue;
    }
    const auto old = before.find(address);
    const bool keep = reusable && old != before.end() &&
                      old->second.mRegion == member.mRecord.mRegion;
    Assignment assignment =
      keep ? old->second
           : Assignment{ member.mRecord.mRegion,
                         ProbersOf(mCandidates, member.mRecord) };
    const std::vector<Address>& probers =
      mAssignments
        .emplace_hint(mAssignments.end(), address, std::move(assignment))
        ->second.mProbers;
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
    // The first probes are spread over an interval, so that a new view does not
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
  for (const auto& [target, assignment] : mAssignments) {
    size_t down = 0;
    size_t voters = 0;
    for (const Address& prober : assignment.mProbers) {
      // A prober that doesn't reply to this instance is not counted: otherwise,
      // with two dead probers of three, this instance's down vote would never
      // be a majority, not even on another dead prober.
      if (HasDownVote(aBoard, prober, aBoard.mOwn.mAddress)) {
        continue;
      }
      ++voters;
      down += HasDownVote(aBoard, target, prober) ? 1 : 0;
    }
    const bool majority =
      2 * down > voters || !aBoard.mOptions.mSafeguards.mVoteMajority;
    if (down > 0 && majority) {
      suspects.insert(target);
    }
  }
  if (suspects != aBoard.mSuspects) {
    aBoard.mSuspects = std::move(suspects);
    ++aBoard.mViewRevision;
  }
}

} // namespace snipepost
