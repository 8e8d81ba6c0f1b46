#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <snipepost/Admission/Events.h>
#include <snipepost/Admission/Options.h>

namespace snipepost {

/// Outcome of the first request with each idempotency key. The size is bounded;
/// a record is never evicted before its lifetime ends.
class IdempotencyTable
{
public:
  enum class State : uint8_t
  {
    /// No record: no request with the key ran within the lifetime of a record.
    Absent,
    InProgress,
    Completed,
    /// The outcome isn't known, or the response was too long to keep.
    Unknown
  };

  struct Record
  {
    State mState = State::Absent;
    /// The stored response; null unless the state is Completed.
    ResponseBytes mResponse;
    /// Duplicates that wait for the outcome.
    std::vector<RequestId> mWaiters;
    Instant mCreated{};
    /// Hash of the first request with the key.
    uint64_t mDigest = 0;
  };

  explicit IdempotencyTable(const IdempotencyOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  /// The record of a key, or null.
  const Record* Find(const std::string& aKey) const;

  /// Adds a record in progress. Returns false when the table is full; the key
  /// must be absent.
  bool Begin(const std::string& aKey, Instant aNow, uint64_t aDigest = 0);

  /// Adds a duplicate that waits for the outcome. Returns false when too many
  /// wait already; the key must be in progress.
  bool AddWaiter(const std::string& aKey, RequestId aRequest);

  /// Removes a waiting duplicate.
  void RemoveWaiter(const std::string& aKey, RequestId aRequest);

  /// Stores the response of a request (sets the state Unknown when it can't be
  /// stored) and returns the duplicates that waited.
  std::vector<RequestId> Complete(const std::string& aKey,
                                  ResponseBytes aResponse);

  /// Sets the state of a record to Unknown and returns the duplicates that
  /// waited.
  std::vector<RequestId> SetUnknown(const std::string& aKey);

  /// Removes the record of a request that did not run and returns the
  /// duplicates that waited.
  std::vector<RequestId> Discard(const std::string& aKey);

  /// Removes records whose lifetime has ended, unless they are in progress.
  void Expire(Instant aNow);

  size_t Count() const { return mRecords.size(); }

private:
  struct Expiry
  {
    Instant mAt{};
    std::string mKey;
    Instant mCreated{};
  };

  std::vector<RequestId> TakeWaiters(Record& aRecord);

  IdempotencyOptions mOptions;
  std::unordered_map<std::string, Record> mRecords;
  std::deque<Expiry> mExpiries;
  size_t mStoredBytes = 0;
  size_t mWaiting = 0;
};

} // namespace snipepost
