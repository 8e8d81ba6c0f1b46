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

/// A change reported by a watch: an object's new value, or its removal.
struct ObjectEvent
{
  std::string mKey;
  ObjectVersion mVersion;
  /// Nothing when the object was removed or its lease expired.
  std::optional<std::string> mValue;
};

/// The precondition of a write.
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

  /// The request header for the condition; nothing for Always().
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

/// mObject is set if and only if mOutcome is Done.
struct GetResult
{
  ObjectOutcome mOutcome = ObjectOutcome::Unknown;
  std::optional<StoredObject> mObject;
};

struct ListResult
{
  ObjectOutcome mOutcome = ObjectOutcome::Unknown;
  /// Revision of the whole store at which the list was read, for Watch().
  uint64_t mRevision = 0;
  std::vector<StoredObject> mObjects;
};

struct WriteResult
{
  ObjectOutcome mOutcome = ObjectOutcome::Unknown;
  /// The object's new version when mOutcome is Done.
  ObjectVersion mVersion;
  /// The stored object when mOutcome is Conflict; nothing if there is none.
  std::optional<StoredObject> mCurrent;
};

struct WatchResult
{
  ObjectOutcome mOutcome = ObjectOutcome::Unknown;
  /// Revision from which the next watch continues. If it is below the requested
  /// revision, the store was rolled back.
  uint64_t mRevision = 0;
  std::vector<ObjectEvent> mEvents;
};

struct ObjectClientOptions
{
  /// Time limit of a call other than Watch(), after which it ends with Unknown.
  /// The platform responds within milliseconds, but has slow periods.
  Duration mTimeout = std::chrono::seconds(2);
  /// A watch ends with Unknown if it has stalled: no response has arrived this
  /// long after the end of its wait.
  Duration mWatchMargin = std::chrono::seconds(2);
};

/// An asynchronous client of the platform's object API. It never retries a
/// call. Callbacks run on the io_context, never within a member function;
/// after the client was destroyed none is called.
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

  /// Reads the object aKey. Outcomes: Done, Absent, Refused or Unknown.
  void Get(std::string_view aKey, std::function<void(GetResult)> aDone);

  /// Reads all objects whose keys start with aPrefix. Outcomes: Done, Refused
  /// or Unknown.
  void List(std::string_view aPrefix, std::function<void(ListResult)> aDone);

  /// Writes an object. With aLease (rounded up to whole seconds) the platform
  /// removes it unless it is written again within that time.
  void Put(std::string_view aKey,
           std::string aValue,
           WriteCondition aCondition,
           std::function<void(WriteResult)> aDone,
           std::optional<Duration> aLease = std::nullopt);

  /// Removes an object. If it does not exist, the outcome is Conflict with the
  /// condition IfVersion() and Absent otherwise.
  void Remove(std::string_view aKey,
              WriteCondition aCondition,
              std::function<void(WriteResult)> aDone);

  /// Waits up to aWait (rounded up to whole seconds) for changes after revision
  /// aSince of objects whose keys start with aPrefix. Done without events means
  /// that nothing changed.
  WatchId Watch(std::string_view aPrefix,
                uint64_t aSince,
                Duration aWait,
                std::function<void(WatchResult)> aDone);

  /// Cancels a watch; its callback is not called.
  void CancelWatch(WatchId aWatch);

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace snipepost
