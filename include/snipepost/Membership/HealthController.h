#pragma once

#include <map>
#include <vector>

#include <snipepost/Membership/Controller.h>

namespace snipepost {

/// Number of entry instances that probe each instance. Constant, so that the
/// probe load of an instance does not grow with the fleet.
constexpr size_t kProbersPerTarget = 3;

/// Entry instances that may probe, by region: those that have not left, are
/// not suspected and are not in a failure domain that is out.
using ProberCandidates = std::map<uint8_t, std::vector<Address>>;

/// Probes the instances assigned to this one by rendezvous rank, votes on
/// their reachability, and derives the suspects from all votes. Runs in entry
/// instances. The scheme follows SWIM (Das, Gupta and Motivala, 2002) with a
/// majority of fixed probers in place of indirect probes. An unanswered probe
/// is repeated before the regular interval has passed.
class HealthController : public Controller
{
public:
  void Step(Blackboard& aBoard,
            const MembershipEvent& aEvent,
            Instant aNow,
            Random& aRandom,
            MembershipEffects& aEffects) override;

private:
  struct Target
  {
    Instant mNextProbe;     ///< Next probe while the last one is unanswered.
    Instant mNextIfReplied; ///< Replaces mNextProbe when a reply arrives.
    unsigned mUnanswered = 0;
    bool mDown = false; ///< This instance's current vote.
  };

  struct Assignment
  {
    uint8_t mRegion = 0;
    std::vector<Address> mProbers;
  };
  using Assignments = std::map<Address, Assignment>;

  void OnTick(Blackboard& aBoard,
              Instant aNow,
              Random& aRandom,
              MembershipEffects& aEffects);
  void AdvanceProbes(const Blackboard& aBoard, Instant aNow, Random& aRandom);
  void OnReply(Blackboard& aBoard, const Address& aFrom);
  void Assign(Blackboard& aBoard, Instant aNow, Random& aRandom);
  void Vote(Blackboard& aBoard, const Address& aTarget, bool aDown);
  void DeriveSuspects(Blackboard& aBoard) const;

  std::map<Address, Target> mTargets;
  Assignments mAssignments;
  ProberCandidates mCandidates; ///< Input of mAssignments.
  /// Document version for which the probes were last advanced.
  DocumentVersion mProbesAdvancedFor;
  uint64_t mAssignedRevision = 0;
  uint64_t mSuspectsDigest = 0; ///< View digest of the last DeriveSuspects.
  uint32_t mVoteCount = 0;
};

ProberCandidates
CandidatesByRegion(const Blackboard& aBoard);

/// Returns the entry instances that probe the target: the first
/// kProbersPerTarget candidates of its region in rendezvous order.
std::vector<Address>
ProbersOf(const ProberCandidates& aCandidates, const InstanceRecord& aTarget);

} // namespace snipepost
