#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

namespace snipepost::cluster {

/// Version that the store gives to each change; one sequence for all objects.
using Revision = Strong<struct RevisionTag, uint64_t>;

enum class BackendState
{
  Ready,
  Draining,
};

/// What an agent announces about the backend server beside it.
struct BackendRecord
{
  std::string mService;
  /// Where the agent takes packets for the backend server.
  Address mAgent;
  std::string mDomain;
  BackendState mState = BackendState::Ready;
  /// Requests that the backend server processes concurrently.
  uint32_t mSlots = 1;
  /// Start of the backend server in milliseconds since the Unix epoch. Tells
  /// incarnations apart; not compared with any clock.
  uint64_t mBorn = 0;

  bool operator==(const BackendRecord&) const = default;
};

/// What is stored under a record's name.
struct StoredRecord
{
  Revision mRevision;
  std::string mText;
};

/// Name of the object that holds an agent's record: its address.
std::string
RecordName(const Address& aAgent);

/// Writes the record as JSON.
std::string
EncodeRecord(const BackendRecord& aRecord);

/// Reads what EncodeRecord() wrote. Nothing when a field is missing or has
/// another type; unknown fields are skipped.
std::optional<BackendRecord>
DecodeRecord(std::string_view aText);

} // namespace snipepost::cluster
