#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <snipepost/Base/StoredObject.h>
#include <snipepost/Membership/Records.h>

namespace snipepost {

/// Precondition of a write: the expected version, or nothing when the object
/// must be absent.
using StoreCondition = std::optional<ObjectVersion>;

// Effects: operations that the core requests from the program.

/// Send a probe packet; a reply arrives as ProbeReplyReceived.
struct SendProbe
{
  Address mTarget;
};

/// Send an exchange message; ends as ExchangeEnded.
struct SendExchange
{
  Address mTo;
  ExchangeMessage mMessage;
};

/// Pull the document from an instance; ends as DocumentPullEnded.
struct PullDocument
{
  Address mFrom;
};

/// Read one object; ends as StoreReadEnded.
struct StoreRead
{
  std::string mKey;
};

/// Write one object; ends as StoreWriteEnded.
struct StoreWrite
{
  std::string mKey;
  std::string mValue;
  StoreCondition mCondition;
  Duration mLease{}; ///< Zero for an object that does not expire.
};

/// Read all objects below a prefix; ends as StoreListEnded.
struct StoreList
{
  std::string mPrefix;
};

/// Wait for changes below a prefix after a revision; ends as StoreListEnded
/// with the changed objects.
struct StoreWatch
{
  std::string mPrefix;
  uint64_t mSince = 0;
};

/// The document on the blackboard was replaced.
struct DocumentAdopted
{};

/// Members or suspects on the blackboard have changed.
struct ViewChanged
{};

using MembershipEffect = std::variant<SendProbe,
                                      SendExchange,
                                      PullDocument,
                                      StoreRead,
                                      StoreWrite,
                                      StoreList,
                                      StoreWatch,
                                      DocumentAdopted,
                                      ViewChanged>;
using MembershipEffects = std::vector<MembershipEffect>;

// Events: inputs that the program passes to the core.

/// Time has passed. Due at least every 50 ms.
struct ClockTick
{};

/// A packet carried a document generation; the document can be pulled from its
/// sender.
struct GenerationSeen
{
  Address mFrom;
  Generation mGeneration;
};

struct ProbeReplyReceived
{
  Address mFrom;
};

/// A probe arrived, so the sending entry instance still has this instance in
/// its view.
struct ProbeReceived
{
  Address mFrom;
};

struct ExchangeEnded
{
  Address mPeer;
  std::optional<ExchangeMessage> mReply; ///< Empty when the exchange failed.
};

struct DocumentPullEnded
{
  Address mFrom;
  std::optional<std::string> mText; ///< Empty when the pull failed.
};

struct StoreReadEnded
{
  std::string mKey;
  ObjectOutcome mOutcome = ObjectOutcome::Unknown;
  StoredObject mObject;
};

struct StoreWriteEnded
{
  std::string mKey;
  ObjectOutcome mOutcome = ObjectOutcome::Unknown;
  ObjectVersion mVersion;
};

struct StoreListEnded
{
  std::string mPrefix;
  ObjectOutcome mOutcome = ObjectOutcome::Unknown;
  bool mComplete = false; ///< True for a list, false for a watch.
  uint64_t mRevision = 0;
  std::vector<StoredObject> mObjects;
};

using MembershipEvent = std::variant<ClockTick,
                                     GenerationSeen,
                                     ProbeReplyReceived,
                                     ProbeReceived,
                                     ExchangeEnded,
                                     DocumentPullEnded,
                                     StoreReadEnded,
                                     StoreWriteEnded,
                                     StoreListEnded>;

} // namespace snipepost
