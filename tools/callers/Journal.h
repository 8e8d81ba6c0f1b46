#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace snipepost::tools {

/// What the backend servers' journals say: one JSON object per line with the
/// fields event ("start" counts here), key and server.
class Journal
{
public:
  /// Adds a file. Returns false when it can't be read. Lines that are no JSON
  /// object are counted; the last line of a killed process can be cut short.
  /// aService groups the servers for Imbalance(). A file without lines counts
  /// as one server that started nothing.
  bool AddFile(const std::string& aFile, const std::string& aService = "");
  void AddLine(const std::string& aLine, const std::string& aService = "");

  /// How often the request with this idempotency key was started.
  uint64_t Starts(const std::string& aKey) const;

  /// Keys that were started more than once.
  uint64_t DoubledKeys() const;

  /// Greatest number of requests started by one backend server of the service
  /// divided by the mean over all its servers, those without starts included;
  /// nothing when the service has no starts.
  std::optional<double> Imbalance(const std::string& aService = "") const;

  /// Starts of all servers.
  uint64_t AllStarts() const;

  /// Starts by service, then by server.
  const std::map<std::string, std::map<std::string, uint64_t>>& Services() const
  {
    return mServices;
  }
  uint64_t BadLines() const { return mBadLines; }

private:
  std::unordered_map<std::string, uint64_t> mByKey;
  std::map<std::string, std::map<std::string, uint64_t>> mServices;
  uint64_t mBadLines = 0;
};

/// Keys that this run's callers used, to be compared with the journals.
class KeyLedger
{
public:
  /// aRequest used aKey for one of its attempts.
  void Use(uint64_t aRequest, const std::string& aKey);

  /// The caller was told that its only attempt with aKey did not run.
  void ToldNotRun(const std::string& aKey) { mNotRun.insert(aKey); }

  /// A retry uses aKey again, so the journal may well show it.
  void Reuse(const std::string& aKey) { mNotRun.erase(aKey); }

  /// The caller got the complete response to the submission aRequest.
  void ToldOk(uint64_t aRequest) { mOk.insert(aRequest); }

  /// Submissions with a complete response that the journals don't show started
  /// exactly once under all their keys together.
  uint64_t OkWithoutOneStart(const Journal& aJournal) const;

  /// Keys that were told not to have run, but that a journal shows started.
  uint64_t Contradictions(const Journal& aJournal) const;

  /// Requests that were started more than once, under one key or several.
  uint64_t DoubledRequests(const Journal& aJournal) const;

private:
  uint64_t Starts(uint64_t aRequest, const Journal& aJournal) const;

  std::unordered_map<uint64_t, std::vector<std::string>> mByRequest;
  std::unordered_set<uint64_t> mOk;
  std::unordered_set<std::string> mNotRun;
};

} // namespace snipepost::tools
