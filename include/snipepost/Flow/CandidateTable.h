#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/BackendRecord.h>
#include <snipepost/Flow/Candidates.h>
#include <snipepost/Flow/RecordHistory.h>

namespace snipepost::flow {

/// The backend servers of one service, by failure domain. A new flow is offered
/// only to the first kCandidatesPerDomain servers of each failure domain in the
/// order of rendezvous hashing (Thaler and Ravishankar, 1998), whatever their
/// state. So the servers that may own a flow follow from the flow and the
/// records alone, on every node.
class CandidateTable
{
public:
  /// Servers of each failure domain that a flow may be offered to. A few are
  /// enough for the choice by load, and owner lookups stay small.
  static constexpr size_t kCandidatesPerDomain = 4;

  /// Adds a server. A missing one is a possible owner, but no candidate.
  /// The record must outlive the table.
  void Add(const RecordHistory::KnownRecord& aRecord);

  /// The servers that a flow may be offered to: those of the local failure
  /// domain first, each group in rendezvous order. mView is not set. Takes
  /// linear time.
  std::vector<Candidate> Candidates(uint64_t aFlowHash,
                                    const std::string& aLocalDomain) const;

  /// Appends every server that may own the flow, also when other servers were
  /// added since the flow was opened: a server is left out only when
  /// kCandidatesPerDomain servers of its failure domain with a better rank were
  /// present whenever it was itself present during the last aFlowLimit, the
  /// longest lifetime of a flow.
  void AppendPossibleOwners(
    uint64_t aFlowHash,
    Instant aNow,
    Duration aFlowLimit,
    std::vector<const cluster::BackendRecord*>& aOwners) const;

  /// Appends all servers in rendezvous order.
  void AppendAll(uint64_t aFlowHash,
                 std::vector<const cluster::BackendRecord*>& aServers) const;

private:
  struct Server
  {
    const RecordHistory::KnownRecord* mKnown = nullptr;
    uint64_t mHashSeed = 0;
    bool mMissing = false;
  };

  using Servers = std::vector<Server>;
  using RankedServers = std::vector<std::pair<uint64_t, const Server*>>;

  static void AppendScored(uint64_t aFlowHash,
                           const Servers& aServers,
                           RankedServers& aRanked);

  std::map<std::string, Servers> mDomains;
};

} // namespace snipepost::flow
