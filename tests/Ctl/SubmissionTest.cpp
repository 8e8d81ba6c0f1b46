#include <boost/test/unit_test.hpp>

#include <iostream>

#include <snipepost/Ctl/Submission.h>
#include <snipepost/Document/Codec.h>

#include "tests/Ctl/FakeStore.h"
#include "tests/Document/Sample.h"

using namespace snipepost;

namespace {

constexpr uint64_t kSeed = 20261204;
const std::string kKey = DocumentKey("rekawica");

Document
WithGeneration(uint64_t aGeneration, const std::string& aSubmission)
{
  Document document = sample::Rekawica();
  document.mGeneration = Generation(aGeneration);
  document.mSubmission = SubmissionId(aSubmission);
  return document;
}

const Document kBase = WithGeneration(7, "base");
const Document kOurs = WithGeneration(8, "ours");
const Document kTheirs = WithGeneration(8, "theirs");

SubmissionPlan
Plan()
{
  return { kOurs, StampOf(kBase), std::nullopt, false };
}

FakeStore
StoreWith(const Document& aDocument)
{
  FakeStore store;
  store.Set(kKey, WriteDocument(aDocument));
  return store;
}

SubmissionResult
Run(FakeStore& aStore, SubmissionPlan aPlan = Plan())
{
  Submission submission(std::move(aPlan), kSeed);
  return RunSubmission(submission, aStore, [](Duration) {});
}

bool
Holds(const FakeStore& aStore, const Document& aDocument)
{
  const auto found = aStore.mObjects.find(kKey);
  return found != aStore.mObjects.end() &&
         found->second.mValue == WriteDocument(aDocument);
}

bool
HasStoredOurs(FakeStore& aStore)
{
  return aStore.mHistory[kKey].contains(WriteDocument(kOurs));
}

std::string
AuditValue(const FakeStore& aStore, const std::string& aName)
{
  const auto found = aStore.mObjects.find("audit/rekawica/" + aName);
  return found == aStore.mObjects.end() ? "" : found->second.mValue;
}

/// Replaces the document like a concurrent submission of another operator.
void
ReplaceConcurrently(FakeStore& aStore, const Document& aDocument)
{
  const auto current = ParseDocument(aStore.mObjects[kKey].mValue);
  const auto entry = AuditEntryOf(*current.mValue);
  aStore.Set("audit/rekawica/" + std::to_string(entry.mTo.Value()),
             WriteAuditEntry(entry));
  aStore.Set(kKey, WriteDocument(aDocument));
}

} // namespace

struct SeedPrinter
{
  SeedPrinter() { std::cout << "SubmissionTest seed=" << kSeed << '\n'; }
};

BOOST_TEST_GLOBAL_FIXTURE(SeedPrinter);

BOOST_AUTO_TEST_SUITE(SubmissionTest)

BOOST_AUTO_TEST_CASE(CopiesAuditEntryBeforeReplacingDocument)
{
  FakeStore store = StoreWith(kBase);
  store.mBeforeCall = [&](int) {
    BOOST_TEST((!HasStoredOurs(store) || !AuditValue(store, "7").empty()));
    return StoreFault::None;
  };
  BOOST_TEST((Run(store).mVerdict == Verdict::Accepted));
  BOOST_TEST(Holds(store, kOurs));
  BOOST_TEST(AuditValue(store, "7") == WriteAuditEntry(AuditEntryOf(kBase)));
}

BOOST_AUTO_TEST_CASE(P10_RacingOperators_TheSecondGetsAConflictWithBothSides)
{
  for (int call = 0; call < 3; ++call) {
    FakeStore store = StoreWith(kBase);
    store.mBeforeCall = [&](int aCall) {
      if (aCall == call) {
        ReplaceConcurrently(store, kTheirs);
      }
      return StoreFault::None;
    };
    const auto result = Run(store);
    BOOST_TEST((result.mVerdict == Verdict::Conflict));
    BOOST_REQUIRE(result.mTheirs);
    BOOST_TEST((*result.mTheirs == kTheirs));
    BOOST_TEST(Holds(store, kTheirs));
    BOOST_TEST(!HasStoredOurs(store));
  }
}

// Injects each fault at each call, for one call, two calls and all later calls.
// Guards against the verdict "refused" for a document that was written and
// "accepted" for one that was never written.
BOOST_AUTO_TEST_CASE(P10_RequestOrResponseLost_VerdictMatchesTheStore)
{
  for (const auto fault : { StoreFault::Refuse,
                            StoreFault::LoseRequest,
                            StoreFault::LoseResponse }) {
    for (int call = 0; call < 6; ++call) {
      for (const int length : { 1, 2, 1000 }) {
        FakeStore store = StoreWith(kBase);
        store.mBeforeCall = [&](int aCall) {
          const bool hit = aCall >= call && aCall < call + length;
          return hit ? fault : StoreFault::None;
        };
        const auto result = Run(store);
        BOOST_TEST(store.mCalls <= 4 * Submission::kMaxFailures);
        if (length < 1000) {
          BOOST_TEST((result.mVerdict == Verdict::Accepted));
        }
        if (result.mVerdict == Verdict::Accepted) {
          BOOST_TEST(Holds(store, kOurs));
        } else if (result.mVerdict != Verdict::Unknown) {
          BOOST_TEST(!HasStoredOurs(store));
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(P10_LostResponseThenReplaced_AuditEntryShowsAcceptance)
{
  FakeStore store = StoreWith(kBase);
  store.mBeforeCall = [&](int aCall) {
    if (aCall == 3) {
      ReplaceConcurrently(store, WithGeneration(9, "next"));
    }
    return aCall == 2 ? StoreFault::LoseResponse : StoreFault::None;
  };
  BOOST_TEST((Run(store).mVerdict == Verdict::Accepted));
  BOOST_TEST(Holds(store, WithGeneration(9, "next")));
}

BOOST_AUTO_TEST_CASE(P10_LostResponseAndRacingOperator_IsAConflict)
{
  FakeStore store = StoreWith(kBase);
  store.mBeforeCall = [&](int aCall) {
    if (aCall == 3) {
      ReplaceConcurrently(store, WithGeneration(9, "theirs"));
    }
    return aCall == 2 ? StoreFault::LoseRequest : StoreFault::None;
  };
  BOOST_TEST((Run(store).mVerdict == Verdict::Conflict));
  BOOST_TEST(!HasStoredOurs(store));
}

// Rolls back or empties the store before each call. Guards against an older
// document that replaces the submitted one.
BOOST_AUTO_TEST_CASE(P10_StoreOlderOrEmptyDuringSubmission_DocumentIsWritten)
{
  for (const bool empty : { false, true }) {
    for (int call = 0; call < 4; ++call) {
      FakeStore store = StoreWith(kBase);
      store.mBeforeCall = [&](int aCall) {
        if (aCall == call) {
          store.mObjects.clear();
          if (!empty) {
            store.Set(kKey, WriteDocument(WithGeneration(5, "old")));
          }
        }
        // The lost response makes the submission read back.
        return aCall == 2 ? StoreFault::LoseResponse : StoreFault::None;
      };
      BOOST_TEST((Run(store).mVerdict == Verdict::Accepted));
      BOOST_TEST(Holds(store, kOurs));
    }
  }
}

BOOST_AUTO_TEST_CASE(P10_StoreOlder_InstancesHaveANewerDocument_IsAConflict)
{
  FakeStore store = StoreWith(kBase);
  auto plan = Plan();
  plan.mNewestOnInstances = kTheirs;
  BOOST_TEST((Run(store, plan).mVerdict == Verdict::Conflict));
  BOOST_TEST(Holds(store, kBase));
  // An edit based on that document is accepted and keeps both audit entries.
  plan.mDocument = WithGeneration(9, "ours");
  plan.mBase = StampOf(kTheirs);
  BOOST_TEST((Run(store, plan).mVerdict == Verdict::Accepted));
  BOOST_TEST(!AuditValue(store, "7").empty());
  BOOST_TEST(!AuditValue(store, "8").empty());
}

// Guards against losing the audit entry of one of two documents with the same
// generation.
BOOST_AUTO_TEST_CASE(P10_StoreOlder_AuditKeyInUse_BothEntriesAreKept)
{
  FakeStore store = StoreWith(kBase);
  const auto other =
    WriteAuditEntry(AuditEntryOf(WithGeneration(7, "another")));
  store.Set("audit/rekawica/7", other);
  BOOST_TEST((Run(store).mVerdict == Verdict::Accepted));
  BOOST_TEST(AuditValue(store, "7") == other);
  BOOST_TEST(AuditValue(store, "7-base") ==
             WriteAuditEntry(AuditEntryOf(kBase)));
}

BOOST_AUTO_TEST_CASE(P10_StoreOlderOrEmpty_RestoreWritesTheNewerDocument)
{
  const SubmissionPlan plan{ kOurs, {}, std::nullopt, true };
  FakeStore empty;
  BOOST_TEST((Run(empty, plan).mVerdict == Verdict::Accepted));
  BOOST_TEST(Holds(empty, kOurs));
  FakeStore older = StoreWith(kBase);
  BOOST_TEST((Run(older, plan).mVerdict == Verdict::Accepted));
  BOOST_TEST(Holds(older, kOurs));
  FakeStore newer = StoreWith(WithGeneration(9, "next"));
  BOOST_TEST((Run(newer, plan).mVerdict == Verdict::Accepted));
  BOOST_TEST(Holds(newer, WithGeneration(9, "next")));
}

BOOST_AUTO_TEST_CASE(P10_UnreadableDocumentInStore_NothingIsWritten)
{
  FakeStore store;
  store.Set(kKey, "{\"deployment\": \"rekawica\"");
  BOOST_TEST((Run(store).mVerdict == Verdict::Refused));
  BOOST_TEST(store.mCalls == 1);
}

BOOST_AUTO_TEST_SUITE_END()
