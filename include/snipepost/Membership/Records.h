#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// What an instance does; decides which records concern it.
enum class InstanceRole : uint8_t
{
  Entry,
  Agent,
};

/// What an instance says about itself.
enum class InstanceState : uint8_t
{
  Starting, ///< The backend server is not reachable or not healthy yet.
  Ready,
  Draining,
  Left,
};

/// Order of the records that one instance publishes. A later life has a
/// greater incarnation, and within a life the sequence number grows.
struct RecordVersion
{
  Incarnation mIncarnation;
  uint32_t mSequence = 0;

  auto operator<=>(const RecordVersion&) const = default;
};

/// An instance as it announces itself. Its address is the key; UDP data and
/// TCP control use the same address and port number.
struct InstanceRecord
{
  InstanceRole mRole = InstanceRole::Entry;
  Address mAddress;
  DomainId mDomain;
  uint8_t mRegion = 0;
  ServiceId mService;  ///< Agents only.
  uint16_t mSlots = 0; ///< Agents only: requests in progress at most.
  InstanceState mState = InstanceState::Starting;
  RecordVersion mVersion;

  bool operator==(const InstanceRecord&) const = default;
};

/// The verdict of one entry instance on the reachability of another instance.
struct HealthVote
{
  Address mTarget;
  Address mProber;
  bool mDown = false;
  RecordVersion mVersion; ///< Incarnation of the prober, its vote count.

  bool operator==(const HealthVote&) const = default;
};

/// Order of accepted documents; see "Never reverts" in the design page.
struct DocumentVersion
{
  Generation mGeneration;
  SubmissionId mSubmission;

  auto operator<=>(const DocumentVersion&) const = default;
};

/// One message of the exchange between two instances; the answer has the same
/// form.
struct ExchangeMessage
{
  Address mFrom;
  DocumentVersion mDocument;
  /// XOR of the hashes of all records and votes: equal views, equal digests.
  uint64_t mDigest = 0;
  /// Digests of each bucket of the view, sent after a digest mismatch only.
  std::vector<uint64_t> mBuckets;
  std::vector<InstanceRecord> mRecords;
  std::vector<HealthVote> mVotes;
};

} // namespace snipepost
