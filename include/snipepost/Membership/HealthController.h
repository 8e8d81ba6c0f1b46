#pragma once

#include <map>
#include <vector>

#include <snipepost/Membership/Controller.h>

namespace snipepost {

/// Number of entry instances that probe each instance, whatever the size of
/// the fleet, so that an endpoint's probe load does not grow with it.
constexpr size_t kProbersPerTarget = 3;

/// Entry instances that may probe, by region: those that are neither gone,
/// suspected nor in a failure domain that is out.
using ProberCandidates = std::map<uint8_t, std::vector<Address>>;

/// Probes the instances assigned to this one by rendezvous rank, votes on
/// their reachability, and derives the suspects from all votes. Runs in entry
/// instances. The scheme follows SWIM (Das, Gupta and Motivala, 2002) with a
/// majority of fixed probers in place of indirect probes. An unanswered probe
/// is repeated sooner than the next one would be due.
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
    Instant mNextProbe;      ///< Unless an answer arrives before.
    Instant mNextIfAnswered; ///< Replaces mNextProbe with the answer.
    unsigned mUnanswered = 0;
    bool mDown = false;
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
  void AnnounceDocument(const Blackboard& aBoard,
                        Instant aNow,
                        Random& aRandom);
  void OnAnswer(Blackboard& aBoard, const Address& aFrom);
  void Assign(Blackboard& aBoard, Instant aNow, Random& aRandom);
  void Vote(Blackboard& aBoard, const Address& aTarget, bool aDown);
  void DeriveSuspects(Blackboard& aBoard) const;

  std::map<Address, Target> mTargets;
  Assignments mAssignments;
  ProberCandidates mCandidates; ///< Those that mAssignments was made from.
  DocumentVersion mAnnounced;   ///< The probes of this one were hastened.
  uint64_t mAssignedRevision = 0;
  uint64_t mSuspectedDigest = 0;
  uint32_t mVoteCount = 0;
};

ProberCandidates
CandidatesByRegion(const Blackboard& aBoard);

/// The entry instances of the target's region that should probe it: the first
/// kProbersPerTarget of the candidates in rendezvous order.
std::vector<Address>
ProbersOf(const ProberCandidates& aCandidates, const InstanceRecord& aTarget);

} // namespace snipepost
