#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <asio.hpp>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/StoredObject.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// Names an outcome for log lines.
std::string_view
ToString(ObjectOutcome aOutcome);

/// A change seen by a watch: an object's new content, or its removal.
struct ObjectEvent
{
  std::string mKey;
  ObjectVersion mVersion;
  /// Nothing when the object was removed or its lease expired.
  std::optional<std::string> mValue;
};

/// What must hold for a write to take effect.
class WriteCondition
{
public:
  static WriteCondition Always() { return WriteCondition(Kind::Always); }
  static WriteCondition IfAbsent() { return WriteCondition(Kind::IfAbsent); }
  static WriteCondition IfVersion(ObjectVersion aVersion)
  {
    WriteCondition condition(Kind::IfVersion);
    condition.mVersion = aVersion;
    return condition;
  }

  /// The request header that states the condition; nothing for Always().
  std::optional<std::pair<std::string, std::string>> Header() const;

private:
  enum class Kind
  {
    Always,
    IfAbsent,
    IfVersion
  };

  explicit WriteCondition(Kind aKind)
    : mKind(aKind)
  {
  }

  Kind mKind;
  ObjectVersion mVersion;
};

/// mObject is set exactly when mOutcome is Done.
struct GetResult
{
  ObjectOutcome mOutcome = ObjectOutcome::Unknown;
  std::optional<StoredObject> mObject;
};

struct ListResult
{
  ObjectOutcome mOutcome = ObjectOutcome::Unknown;
  /// Revision of the whole store that the list shows, for Watch().
  uint64_t mRevision = 0;
  std::vector<StoredObject> mObjects;
};

struct WriteResult
{
  ObjectOutcome mOutcome = ObjectOutcome::Unknown;
  /// The object's new version when mOutcome is Done.
  ObjectVersion mVersion;
  /// What is stored when mOutcome is Conflict; nothing if there is no object.
  std::optional<StoredObject> mCurrent;
};

struct WatchResult
{
  ObjectOutcome mOutcome = ObjectOutcome::Unknown;
  /// Where the next watch continues. A revision below the one asked for means
  /// that the store was rolled back.
  uint64_t mRevision = 0;
  std::vector<ObjectEvent> mEvents;
};

struct ObjectClientOptions
{
  /// The platform answers within milliseconds; during its slow periods a call
  /// that takes longer than this is given up as Unknown.
  Duration mTimeout = std::chrono::seconds(2);
  /// A watch that got no answer this long after its wait is over has stalled.
  Duration mWatchMargin = std::chrono::seconds(2);
};

/// An asynchronous client of the platform's object API. It never repeats a
/// call. Callbacks run on the io_context, never within a member function;
/// destroying the client drops them.
class ObjectClient
{
public:
  /// Identifies a watch within its client.
  using WatchId = StrongType<struct WatchIdTag, uint64_t>;

  ObjectClient(asio::io_context& aContext,
               Address aPlatform,
               ObjectClientOptions = {});
  ~ObjectClient();
  ObjectClient(const ObjectClient&) = delete;
  ObjectClient& operator=(const ObjectClient&) = delete;

  /// Reads the object aKey: Done, Absent, Refused or Unknown.
  void Get(std::string_view aKey, std::function<void(GetResult)> aDone);

  /// Reads all objects whose keys start with aPrefix: Done, Refused or Unknown.
  void List(std::string_view aPrefix, std::function<void(ListResult)> aDone);

  /// Writes an object. With aLease (rounded up to whole seconds) it is removed
  /// when it is not written again within that time.
  void Put(std::string_view aKey,
           std::string aValue,
           WriteCondition aCondition,
           std::function<void(WriteResult)> aDone,
           std::optional<Duration> aLease = std::nullopt);

  /// Removes an object. Absent when there is none and none was expected.
  void Remove(std::string_view aKey,
              WriteCondition aCondition,
              std::function<void(WriteResult)> aDone);

  /// Waits up to aWait (rounded up to whole seconds) for changes of objects
  /// whose keys start with aPrefix after revision aSince. Done without events
  /// means that there were none.
  WatchId Watch(std::string_view aPrefix,
                uint64_t aSince,
                Duration aWait,
                std::function<void(WatchResult)> aDone);

  /// Gives up a watch; its callback is not called.
  void CancelWatch(WatchId aWatch);

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace snipepost
