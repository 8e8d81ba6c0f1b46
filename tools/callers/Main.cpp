#include <iostream>

#include "tools/callers/Options.h"
#include "tools/callers/Report.h"
#include "tools/callers/Caller.h"

using namespace snipepost::tools;

namespace {

// Nothing when a journal can't be read.
std::optional<JournalFindings>
CompareWithJournals(const Options& aOptions, const KeyLedger& aLedger)
{
  Journal journal;
  for (const std::string& file : aOptions.mJournals) {
    if (!journal.AddFile(file)) {
      std::cerr << "callers: can't read journal " << file << "\n";
      return std::nullopt;
    }
  }
  if (journal.BadLines() > 0) {
    std::cerr << "callers: journal lines ignored: " << journal.BadLines()
              << "\n";
  }
  return JournalFindings{ journal.DoubledKeys(),
                          aLedger.DoubledRequests(journal),
                          aLedger.Contradictions(journal),
                          journal.Imbalance(),
                          journal.StartsByServer() };
}

} // namespace

int
main(int aCount, char** aArguments)
{
  int exitCode = 0;
  const auto options = ParseOptions(aCount, aArguments, exitCode);
  if (!options) {
    return exitCode;
  }
  std::cout << "seed " << options->mSeed << std::endl;
  Run run(*options);
  run.Execute();
  Report report{ run.Counters(), std::nullopt };
  if (!options->mJournals.empty()) {
    report.mJournals = CompareWithJournals(*options, run.Ledger());
    if (!report.mJournals) {
      return 2;
    }
  }
  report.WriteTable(std::cout);
  if (!options->mJsonFile.empty() && !report.WriteJson(options->mJsonFile)) {
    std::cerr << "callers: can't write " << options->mJsonFile << "\n";
    return 2;
  }
  return options->mExpectClean && !report.IsClean() ? 1 : 0;
}
