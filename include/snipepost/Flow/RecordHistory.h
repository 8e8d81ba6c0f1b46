#pragma once

#include <map>
#include <optional>
#include <string>

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/GossipCore.h>
#include <snipepost/Cluster/Replica.h>

namespace snipepost::flow {

/// The records of backend servers with what an entry instance knows of their
/// past. A record that was removed in the state Ready is kept as missing for
/// the longest lifetime of a flow: a server drains before it ends, so its agent
/// probably still runs and owns flows. A draining one is kept for 2 s.
class RecordHistory
{
public:
  struct KnownRecord
  {
    cluster::BackendRecord mRecord;
    /// Revision at which the record was created; zero when unknown.
    cluster::Revision mCreated;
    /// The same for the first record since which it was never missing for
    /// longer than the lifetime of a flow.
    cluster::Revision mFirstCreated;
    /// Time from which the record has been known without interruption.
    Instant mKnownSince;
    /// Time from which the record has been missing.
    std::optional<Instant> mMissingSince;
  };

  /// By name of the record.
  using KnownRecords = std::map<std::string, KnownRecord>;

  explicit RecordHistory(Duration aFlowLimit);

  /// Handles a change of the records. Invalidates references to records that
  /// are removed.
  void Update(const cluster::Replica& aReplica, Instant aNow);

  const KnownRecords& Records() const { return mRecords; }
  /// True when the record is missing, and was known before.
  bool IsMissing(const std::string& aName) const;
  /// True when any record is missing.
  bool HasMissing() const { return mMissing > 0; }
  /// The agent's current record, otherwise a missing one; null if there is
  /// none.
  const cluster::BackendRecord* FindAgent(cluster::NodeIp aAgent) const;

private:
  /// Time for which a missing record is kept.
  Duration Retention(const KnownRecord& aRecord) const;

  Duration mFlowLimit;
  KnownRecords mRecords;
  size_t mMissing = 0;
};

} // namespace snipepost::flow
