#pragma once

#include <iosfwd>
#include <optional>
#include <string>

#include "tools/callers/Journal.h"
#include "tools/callers/Statistics.h"

namespace snipepost::tools {

/// Results of the comparison with the backend servers' journals.
struct JournalFindings
{
  uint64_t mDoubledKeys = 0;
  uint64_t mDoubledRequests = 0;
  uint64_t mContradictions = 0;
  /// Submissions with a complete response but not exactly one start.
  uint64_t mOkWithoutOneStart = 0;
  uint64_t mStarts = 0;
  /// By service; services without starts are omitted.
  std::map<std::string, double> mImbalance;
  std::map<std::string, uint64_t> mStartsByServer;
};

/// Results of one run.
struct Report
{
  const Statistics& mStatistics;
  std::optional<JournalFindings> mJournals;

  void WriteTable(std::ostream& aOut) const;
  /// False when the file can't be written.
  bool WriteJson(const std::string& aFile) const;
  /// True without lost or broken flows, wrong responses, requests started more
  /// than once and contradictions, and with exactly one start of each
  /// submission that got a complete response.
  bool IsClean() const;
  /// False when the given journals show no start at all and so can't confirm
  /// any result.
  bool HasEvidence() const { return !mJournals || mJournals->mStarts > 0; }
};

} // namespace snipepost::tools
