#pragma once

#include <memory>
#include <vector>

#include <snipepost/Base/Random.h>
#include <snipepost/Routing/FirstPacketPolicy.h>

#include "tools/bench/PolicyModel.h"

namespace snipepost::bench {

/// Candidates of a packet, and how many of them are from the current table.
struct CandidateChoice
{
  CandidateList mCandidates;
  uint8_t mFromCurrentTable = 0;
};

/// Model of an entry instance. Uses the real RoutingSnapshot and
/// FirstPacketPolicy, and has its own load hints.
class EntryModel
{
public:
  EntryModel(PolicyKind aKind, uint64_t aSeed);

  /// Applies a new set of eligible servers and of failure domains that are out.
  void Update(const std::vector<bool>& aEligible, const DomainSet& aOut);

  /// Replaces the load hints by reports of all servers, by server number.
  void UpdateLoads(const std::vector<double>& aLoads, Instant aNow);

  CandidateChoice Choose(bool aToBulkService, FlowKey aKey, Instant aNow);

private:
  PolicyKind mKind;
  std::unique_ptr<FirstPacketPolicy> mPolicy;
  std::shared_ptr<const RoutingSnapshot> mSnapshot;
  std::vector<LoadHint> mHints;
  Random mRandom;
};

/// Address of the agent of a server, and the server of such an address.
Address
AgentAddress(size_t aServer);
size_t
ServerOf(const Address& aAgent);

/// Failure domain of the server or the entry instance with this number.
size_t
DomainOf(size_t aNumber);

} // namespace snipepost::bench
