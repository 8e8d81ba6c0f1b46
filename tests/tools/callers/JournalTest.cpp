#include <boost/test/unit_test.hpp>

#include "tools/callers/Journal.h"

using namespace snipepost::tools;

namespace {

void
AddStart(JournalSummary& aJournal,
         const std::string& aKey,
         const std::string& aServer)
{
  aJournal.AddLine(R"({"event":"started","idempotency-key":")" + aKey +
                   R"(","server":")" + aServer + R"("})");
}

} // namespace

BOOST_AUTO_TEST_SUITE(JournalTest)

// Guards against a checker that misses a submission that ran twice.
BOOST_AUTO_TEST_CASE(P7_SameKeyTwice_Doubled)
{
  JournalSummary journal;
  AddStart(journal, "a", "s1");
  AddStart(journal, "b", "s1");
  journal.AddLine(
    R"({"event":"finished","idempotency-key":"b","server":"s1"})");
  BOOST_TEST(journal.DoubledKeys() == 0);
  AddStart(journal, "a", "s2");
  BOOST_TEST(journal.DoubledKeys() == 1);
}

// Guards against a checker that misses a submission that ran under two keys.
BOOST_AUTO_TEST_CASE(P7_TwoKeysOfOneRequest_Doubled)
{
  JournalSummary journal;
  KeyLedger ledger;
  ledger.RecordUse(1, "a");
  ledger.RecordUse(1, "a");
  ledger.RecordUse(1, "b");
  AddStart(journal, "a", "s1");
  BOOST_TEST(ledger.DoubledRequests(journal) == 0);
  AddStart(journal, "b", "s1");
  BOOST_TEST(ledger.DoubledRequests(journal) == 1);
}

// Guards against a checker that misses a request that ran although it was
// reported as not run.
BOOST_AUTO_TEST_CASE(P6_ReportedNotRunButStarted_Contradiction)
{
  JournalSummary journal;
  KeyLedger ledger;
  ledger.RecordNotRun("a");
  ledger.RecordNotRun("b");
  ledger.RecordReuse("b");
  AddStart(journal, "b", "s1");
  BOOST_TEST(ledger.Contradictions(journal) == 0);
  AddStart(journal, "a", "s1");
  BOOST_TEST(ledger.Contradictions(journal) == 1);
}

// Guards against a checker that accepts a response without exactly one start of
// its request.
BOOST_AUTO_TEST_CASE(P7_OkWithoutOneStart_Found)
{
  JournalSummary journal;
  KeyLedger ledger;
  ledger.RecordUse(1, "a");
  ledger.RecordUse(2, "b");
  ledger.RecordOk(1);
  BOOST_TEST(ledger.OkWithoutOneStart(journal) == 1);
  AddStart(journal, "a", "s1");
  BOOST_TEST(ledger.OkWithoutOneStart(journal) == 0);
  AddStart(journal, "a", "s2");
  BOOST_TEST(ledger.OkWithoutOneStart(journal) == 1);
  ledger.RecordOk(3);
  BOOST_TEST(ledger.OkWithoutOneStart(journal) == 2);
}

// Guards against idle servers that are left out, which makes the load appear
// even, and against mixing services with different loads.
BOOST_AUTO_TEST_CASE(ImbalanceCountsIdleServersOfTheService)
{
  JournalSummary journal;
  journal.AddLine(R"({"event":"booted","server":"s1"})", "x");
  BOOST_TEST(!journal.Imbalance("x"));
  journal.AddLine(R"({"event":"started","server":"s2"})", "x");
  journal.AddLine(R"({"event":"started","server":"s3"})", "y");
  BOOST_TEST(journal.Imbalance("x").value() == 2);
  BOOST_TEST(journal.Imbalance("y").value() == 1);
  BOOST_TEST(journal.TotalStarts() == 2);
}

BOOST_AUTO_TEST_CASE(ImbalanceIsMaxOverMean)
{
  JournalSummary journal;
  BOOST_TEST(!journal.Imbalance());
  AddStart(journal, "a", "s1");
  AddStart(journal, "b", "s1");
  AddStart(journal, "c", "s1");
  AddStart(journal, "d", "s2");
  BOOST_TEST(journal.Imbalance().value() == 1.5);
}

// Guards against the truncated last line of a killed server ending the
// evaluation.
BOOST_AUTO_TEST_CASE(TruncatedLine_Counted)
{
  JournalSummary journal;
  journal.AddLine(R"({"event":"sta)");
  journal.AddLine("[]");
  BOOST_TEST(journal.BadLines() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
