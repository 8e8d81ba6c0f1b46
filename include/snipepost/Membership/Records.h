#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// Role of an instance; determines which records it keeps.
enum class InstanceRole : uint8_t
{
  Entry,
  Agent,
};

/// State that an instance announces.
enum class InstanceState : uint8_t
{
  Starting, ///< The backend server is not reachable or not healthy yet.
  Ready,
  Draining,
  Left,
};

/// Version of an instance's record. Each restart increases the incarnation;
/// within an incarnation the sequence number grows.
struct RecordVersion
{
  Incarnation mIncarnation;
  uint32_t mSequence = 0;

  auto operator<=>(const RecordVersion&) const = default;
};

/// Announcement of an instance, keyed by its address. UDP data and TCP control
/// use the same address and port number.
struct InstanceRecord
{
  InstanceRole mRole = InstanceRole::Entry;
  Address mAddress;
  DomainId mDomain;
  uint8_t mRegion = 0;
  ServiceId mService;  ///< Agents only.
  uint16_t mSlots = 0; ///< Agents only: limit of requests in progress.
  InstanceState mState = InstanceState::Starting;
  RecordVersion mVersion;

  bool operator==(const InstanceRecord&) const = default;
};

/// Vote of one entry instance on the reachability of another instance.
struct HealthVote
{
  Address mTarget;
  Address mProber;
  bool mDown = false;
  RecordVersion mVersion; ///< Prober's incarnation and vote count.

  bool operator==(const HealthVote&) const = default;
};

/// Version of an accepted document, as instances send it; DocumentStamp is the
/// same for a parsed document. See "Never reverts" in docs/design.md for the
/// order.
struct DocumentVersion
{
  Generation mGeneration;
  SubmissionId mSubmission;

  auto operator<=>(const DocumentVersion&) const = default;
};

/// Message of an exchange between two instances; the reply has the same form.
struct ExchangeMessage
{
  Address mFrom;
  DocumentVersion mDocumentVersion;
  /// XOR of the hashes of all records and votes, so that equal views have equal
  /// digests.
  uint64_t mDigest = 0;
  /// Digest of each bucket of the view; sent only after a digest mismatch.
  std::vector<uint64_t> mBuckets;
  std::vector<InstanceRecord> mRecords;
  std::vector<HealthVote> mVotes;
};

} // namespace snipepost
