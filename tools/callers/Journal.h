#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace snipepost::tools {

/// Request starts counted from the backend servers' journals: one JSON object
/// per line with the fields event (only "started" is counted), idempotency-key
/// and server.
class JournalSummary
{
public:
  /// Adds a file. Returns false when it can't be read. Lines that are not JSON
  /// objects are counted, because the last line of a killed process may be
  /// truncated. aService groups the servers for Imbalance(). An empty file
  /// counts as one server without starts.
  bool AddFile(const std::string& aFile, const std::string& aService = "");
  void AddLine(const std::string& aLine, const std::string& aService = "");

  /// Number of times that a request with this idempotency key was started.
  uint64_t Starts(const std::string& aKey) const;

  /// Number of keys whose requests were started more than once.
  uint64_t DoubledKeys() const;

  /// Largest number of starts on one backend server of the service, divided by
  /// the mean over all its servers, including those without starts; nothing
  /// when the service has no starts.
  std::optional<double> Imbalance(const std::string& aService = "") const;

  /// Number of starts on all servers.
  uint64_t TotalStarts() const;

  /// Number of starts by service, then by server.
  const std::map<std::string, std::map<std::string, uint64_t>>& Services() const
  {
    return mServices;
  }
  uint64_t BadLines() const { return mBadLines; }

private:
  std::unordered_map<std::string, uint64_t> mStartsByKey;
  std::map<std::string, std::map<std::string, uint64_t>> mServices;
  uint64_t mBadLines = 0;
};

/// Idempotency keys used by the callers of this run, to be compared with the
/// journals.
class KeyLedger
{
public:
  /// An attempt of aRequest used aKey.
  void RecordUse(uint64_t aRequest, const std::string& aKey);

  /// The only attempt with aKey was reported to the caller as not run.
  void RecordNotRun(const std::string& aKey) { mNotRunKeys.insert(aKey); }

  /// A retry uses aKey again, so the journals may show it as started.
  void RecordReuse(const std::string& aKey) { mNotRunKeys.erase(aKey); }

  /// The caller received the complete response to the submission aRequest.
  void RecordOk(uint64_t aRequest) { mOkRequests.insert(aRequest); }

  /// Submissions with a complete response that were not started exactly once
  /// according to the journals, counting all keys of a submission.
  uint64_t OkWithoutOneStart(const JournalSummary& aJournal) const;

  /// Keys reported as not run that a journal shows as started.
  uint64_t Contradictions(const JournalSummary& aJournal) const;

  /// Requests that were started more than once, under the same key or several.
  uint64_t DoubledRequests(const JournalSummary& aJournal) const;

private:
  uint64_t Starts(uint64_t aRequest, const JournalSummary& aJournal) const;

  std::unordered_map<uint64_t, std::vector<std::string>> mKeysByRequest;
  std::unordered_set<uint64_t> mOkRequests;
  std::unordered_set<std::string> mNotRunKeys;
};

} // namespace snipepost::tools
