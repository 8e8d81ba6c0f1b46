#pragma once

#include <iosfwd>
#include <optional>
#include <string>

#include "tools/callers/Journal.h"
#include "tools/callers/Statistics.h"

namespace snipepost::tools {

/// What the journals add to the callers' own view.
struct JournalFindings
{
  uint64_t mDoubledKeys = 0;
  uint64_t mDoubledRequests = 0;
  uint64_t mContradictions = 0;
  /// Submissions reported ok without exactly one start.
  uint64_t mOkWithoutOneStart = 0;
  uint64_t mStarts = 0;
  /// By service; a service without starts has none.
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
  /// No broken flow, doubled run, contradiction or wrong answer, and exactly
  /// one start of each submission that was answered.
  bool IsClean() const;
  /// False when journals were given that show no start at all: such journals
  /// can't confirm anything.
  bool HasEvidence() const { return !mJournals || mJournals->mStarts > 0; }
};

} // namespace snipepost::tools
