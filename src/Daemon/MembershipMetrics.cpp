#include <src/Daemon/MembershipMetrics.h>

#include <array>
#include <sstream>

namespace snipepost {

namespace {

struct NamedCounter
{
  const char* mName;
  const char* mHelp;
  uint64_t MembershipCounters::*mCount;
};

using C = MembershipCounters;

constexpr std::array<NamedCounter, 12> kCounters{ {
  { "probes_sent", "Probes sent.", &C::mProbesSent },
  { "probes_lost", "Probes without an answer.", &C::mProbesLost },
  { "exchanges", "Exchanges started.", &C::mExchanges },
  { "exchanges_failed", "Exchanges without an answer.", &C::mExchangesFailed },
  { "documents_adopted", "Documents adopted.", &C::mDocumentsAdopted },
  { "documents_rejected",
    "Documents that were malformed or of another deployment.",
    &C::mDocumentsRejected },
  { "document_pulls", "Documents asked of peers.", &C::mDocumentPulls },
  { "write_backs", "Documents restored in the store.", &C::mWriteBacks },
  { "store_reads", "Reads and watches of the store.", &C::mStoreReads },
  { "store_writes", "Writes to the store.", &C::mStoreWrites },
  { "store_failures", "Calls to the store that failed.", &C::mStoreFailures },
  { "lease_renewals", "Renewals of the own lease.", &C::mLeaseRenewals },
} };

} // namespace

std::string
MembershipMetrics(const Blackboard& aBoard)
{
  std::ostringstream text;
  for (const NamedCounter& counter : kCounters) {
    const std::string name =
      std::string("snipepost_") + counter.mName + "_total";
    text << "# HELP " << name << ' ' << counter.mHelp << "\n# TYPE " << name
         << " counter\n"
         << name << ' ' << aBoard.mCounters.*counter.mCount << '\n';
  }
  const auto gauge = [&](const char* aName, const char* aHelp, auto aValue) {
    text << "# HELP " << aName << ' ' << aHelp << "\n# TYPE " << aName
         << " gauge\n"
         << aName << ' ' << aValue << '\n';
  };
  gauge("snipepost_document_generation",
        "Generation of the document in force.",
        aBoard.mDocument.mVersion.mGeneration.Value());
  gauge("snipepost_store_reachable",
        "1 when the last call to the store was answered.",
        aBoard.mStore.mReachable ? 1 : 0);
  gauge("snipepost_members", "Instances known.", aBoard.mMembers.size());
  gauge("snipepost_suspects",
        "Instances that most of their probers can't reach.",
        aBoard.mSuspects.size());
  return text.str();
}

} // namespace snipepost
