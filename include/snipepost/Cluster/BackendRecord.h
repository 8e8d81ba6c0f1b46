#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/Revision.h>

namespace snipepost::cluster {

enum class BackendState
{
  Ready,
  Draining,
};

/// What an agent announces about its local backend server.
struct BackendRecord
{
  std::string mService;
  /// Address where the agent receives packets for the backend server.
  Address mAgent;
  std::string mDomain;
  BackendState mState = BackendState::Ready;
  /// Requests that the backend server processes concurrently.
  uint32_t mSlots = 1;

  bool operator==(const BackendRecord&) const = default;
};

/// The text of a stored object, such as a record, with its revision.
struct StoredRecord
{
  Revision mRevision;
  std::string mText;
};

/// Name of the object that holds an agent's record: the agent's address.
std::string
RecordName(const Address& aAgent);

/// Writes the record as JSON.
std::string
EncodeRecord(const BackendRecord& aRecord);

/// Parses the output of EncodeRecord(). Nothing when a field is missing or has
/// another type; unknown fields are skipped.
std::optional<BackendRecord>
DecodeRecord(std::string_view aText);

} // namespace snipepost::cluster
