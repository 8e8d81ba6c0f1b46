#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/RecordPublisher.h>
#include <snipepost/Cluster/Replica.h>

namespace snipepost::cluster {

/// How a read of the store ended.
enum class ReadOutcome
{
  Done,
  /// The store no longer has the history that a watch asked for.
  HistoryGone,
  /// The store refuses this node, or is above its rate.
  Refused,
  /// No answer.
  Lost,
};

std::string_view
ToString(ReadOutcome aOutcome);

struct ListResult
{
  ReadOutcome mOutcome = ReadOutcome::Lost;
  Snapshot mSnapshot;
};

struct WatchResult
{
  ReadOutcome mOutcome = ReadOutcome::Lost;
  std::vector<ObjectChange> mChanges;
  /// Where the next watch continues.
  Revision mRevision;
};

struct WriteResult
{
  WriteOutcome mOutcome = WriteOutcome::Unknown;
  /// The object after Done, or the one in the way after Conflict.
  std::optional<StoredRecord> mStored;
};

/// The store of the shared state as the product sees it. Calls never block;
/// each handler is called once, later, unless the store is destroyed first.
class Store
{
public:
  virtual ~Store() = default;

  /// Reads all objects of a part; each page is awaited for aTimeout.
  virtual void List(Part aPart,
                    Duration aTimeout,
                    std::function<void(ListResult)> aDone) = 0;
  /// Waits up to aWait for changes after aSince.
  virtual void Watch(Part aPart,
                     Revision aSince,
                     Duration aWait,
                     std::function<void(WatchResult)> aDone) = 0;
  /// Writes the record aName.
  virtual void Write(const std::string& aName,
                     const RecordWrite& aWrite,
                     std::function<void(WriteResult)> aDone) = 0;
};

} // namespace snipepost::cluster
