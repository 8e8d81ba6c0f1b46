#include <iostream>

#include "tools/callers/Options.h"
#include "tools/callers/Report.h"
#include "tools/callers/Caller.h"

using namespace snipepost::tools;

namespace {

// Returns nothing when a journal can't be read.
std::optional<JournalFindings>
CompareWithJournals(const Options& aOptions, const KeyLedger& aLedger)
{
  JournalSummary journal;
  for (const auto& [service, files] :
       { std::pair("service", &aOptions.mJournals),
         std::pair("bulk-service", &aOptions.mBulkJournals) }) {
    for (const std::string& file : *files) {
      if (!journal.AddFile(file, service)) {
        std::cerr << "callers: can't read journal " << file << "\n";
        return std::nullopt;
      }
    }
  }
  if (journal.BadLines() > 0) {
    std::cerr << "callers: ignored malformed journal lines: "
              << journal.BadLines() << "\n";
  }
  JournalFindings findings{ journal.DoubledKeys(),
                            aLedger.DoubledRequests(journal),
                            aLedger.Contradictions(journal),
                            aLedger.OkWithoutOneStart(journal),
                            journal.TotalStarts(),
                            {},
                            {} };
  for (const auto& [service, servers] : journal.Services()) {
    if (const auto imbalance = journal.Imbalance(service)) {
      findings.mImbalance[service] = *imbalance;
    }
    findings.mStartsByServer.insert(servers.begin(), servers.end());
  }
  return findings;
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
  LoadGenerator generator(*options);
  generator.Execute();
  Report report{ generator.Counters(), std::nullopt };
  if (!options->mJournals.empty() || !options->mBulkJournals.empty()) {
    report.mJournals = CompareWithJournals(*options, generator.Ledger());
    if (!report.mJournals) {
      return 2;
    }
  }
  report.WriteTable(std::cout);
  if (!options->mJsonFile.empty() && !report.WriteJson(options->mJsonFile)) {
    std::cerr << "callers: can't write " << options->mJsonFile << "\n";
    return 2;
  }
  if (!report.HasEvidence()) {
    std::cerr
      << "callers: the results can't be confirmed, because the journals show "
         "no started request\n";
    return 1;
  }
  return options->mExpectClean && !report.IsClean() ? 1 : 0;
}
