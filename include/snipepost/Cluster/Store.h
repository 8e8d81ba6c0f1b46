#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/RecordPublisher.h>
#include <snipepost/Cluster/Replica.h>

namespace snipepost::cluster {

/// Outcome of a list or watch call.
enum class ReadOutcome
{
  Done,
  /// The store no longer has the history that a watch asked for.
  HistoryGone,
  /// The store returned an error, e.g. because it rejects this node or its rate
  /// limit is exceeded.
  Refused,
  /// No valid response.
  Lost,
};

std::string_view
ToString(ReadOutcome aOutcome);

/// Whether a list call must return the latest state. A store serves a list that
/// may be some seconds old at a fraction of the cost.
enum class Freshness
{
  Latest,
  MayBeStale,
};

struct ListResult
{
  ReadOutcome mOutcome = ReadOutcome::Lost;
  Snapshot mSnapshot;
};

struct WatchResult
{
  ReadOutcome mOutcome = ReadOutcome::Lost;
  std::vector<ObjectChange> mChanges;
  /// Revision from which the next watch continues.
  Revision mRevision;
  /// Epoch of the response; set for every outcome but Lost.
  Epoch mEpoch{};
};

struct WriteResult
{
  WriteOutcome mOutcome = WriteOutcome::Unknown;
  /// The object after Done, or the conflicting one after Conflict.
  std::optional<StoredRecord> mStored;
  /// Epoch of the response; unknown when there was none.
  Epoch mEpoch{};
};

/// Client interface of the store of the shared state. Calls never block; each
/// handler is called once, asynchronously, unless the store is destroyed first
/// or the call is replaced.
class Store
{
public:
  virtual ~Store() = default;

  /// Reads all objects of a part; the response with each page has to start
  /// within aTimeout and then to keep arriving.
  virtual void List(Part aPart,
                    Freshness aFreshness,
                    Duration aTimeout,
                    std::function<void(ListResult)> aDone) = 0;
  /// Waits up to aWait for changes after aSince. Replaces an unanswered watch
  /// of the same part, whose handler is then not called.
  virtual void Watch(Part aPart,
                     Revision aSince,
                     Duration aWait,
                     std::function<void(WatchResult)> aDone) = 0;
  /// Executes a conditional write of the record aName.
  virtual void Write(const std::string& aName,
                     const RecordWrite& aWrite,
                     std::function<void(WriteResult)> aDone) = 0;
};

} // namespace snipepost::cluster
