#pragma once

#include <memory>
#include <vector>

#include <snipepost/Base/Random.h>
#include <snipepost/Routing/FirstPacketPolicy.h>

#include "tools/bench/PolicyModel.h"

namespace snipepost::bench {

/// Candidates of a packet, and how many come from the present table.
struct Offer
{
  CandidateList mCandidates;
  uint8_t mFromCurrentTable = 0;
};

/// Model of an entry instance: a real snapshot and policy, with its own hints.
class EntryModel
{
public:
  EntryModel(PolicyKind aKind, uint64_t aSeed);

  /// Takes a new set of eligible servers into force.
  void Update(const std::vector<bool>& aEligible, const DomainSet& aOut);

  /// Takes load reports of all servers, in order.
  void Report(const std::vector<double>& aLoads, Instant aNow);

  Offer Choose(bool aToStore, FlowKey aKey, Instant aNow);

private:
  PolicyKind mKind;
  std::unique_ptr<FirstPacketPolicy> mPolicy;
  std::shared_ptr<const RoutingSnapshot> mSnapshot;
  std::vector<LoadHint> mHints;
  Random mRandom;
};

/// Address of the agent of a server, and back.
Address
AgentAddress(size_t aServer);
size_t
ServerOf(const Address& aAgent);

/// Failure domain of a server or, by its number, of an entry instance.
size_t
DomainOf(size_t aNumber);

} // namespace snipepost::bench
