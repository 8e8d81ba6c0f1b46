#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

#include <snipepost/Ctl/Program.h>
#include <snipepost/Ctl/Submission.h>
#include <snipepost/Document/Codec.h>
#include <snipepost/Document/Order.h>

#include "tests/Ctl/FakeStore.h"
#include "tests/Document/Sample.h"

using namespace snipepost;

namespace {

const std::string kKey = DocumentKey("rekawica");
const Address kInstance = *ParseAddress("127.0.0.9:7000");

/// Forwards calls to a store that outlives a single command.
class SharedStore : public ObjectStore
{
public:
  explicit SharedStore(FakeStore& aStore)
    : mStore(aStore)
  {
  }
  StoreResponse Get(const std::string& aKey) override
  {
    return mStore.Get(aKey);
  }
  StoreResponse List(const std::string& aPrefix) override
  {
    return mStore.List(aPrefix);
  }
  StoreResponse Put(const std::string& aKey,
                    const std::string& aValue,
                    std::optional<ObjectVersion> aVersion) override
  {
    return mStore.Put(aKey, aValue, aVersion);
  }

private:
  FakeStore& mStore;
};

/// A store, an instance that follows the stored document, and a local file.
struct Fixture
{
  Fixture()
  {
    mEnvironment.mVariables = { { "SNIPEPOST_DEPLOYMENT", "rekawica" },
                                { "SNIPEPOST_STORE", "127.0.0.9:9999" },
                                { "SNIPEPOST_BY", "ola" } };
    Deploy(sample::Rekawica());
    mStore.Set("entries/127.0.0.9:7000", "{}");
    for (int i = 0; i < 10; ++i) {
      const std::string service = i < 7 ? "sizing-desk" : "pattern-store";
      const std::string domain = std::to_string(1 + i % 3);
      mStore.Set("endpoints/" + service + "/127.0.2.1:900" + std::to_string(i),
                 "{\"domain\":" + domain + ",\"slots\":4}");
    }
  }

  ~Fixture() { std::filesystem::remove(mFile); }

  void Deploy(const Document& aDocument)
  {
    mInstanceDocument = WriteDocument(aDocument);
    mStore.Set(kKey, *mInstanceDocument);
  }

  Document Stored()
  {
    return ParseDocument(mStore.mObjects[kKey].mValue).mValue.value();
  }

  ExitCode Run(const std::string& aLine)
  {
    mOut.str("");
    mErr.str("");
    std::istringstream words(aLine);
    std::vector<std::string> arguments;
    for (std::string word; words >> word;) {
      arguments.push_back(word == "FILE" ? mFile : word);
    }
    return RunProgram(arguments, mEnvironment);
  }

  bool CheckExitCode(const std::string& aLine, ExitCode aCode)
  {
    const ExitCode code = Run(aLine);
    BOOST_TEST((code == aCode),
               aLine << ": " << int(code) << " " << mOut.str() << mErr.str());
    return code == aCode;
  }

  void FetchToFile()
  {
    CheckExitCode("show", ExitCode::Ok);
    std::ofstream(mFile) << mOut.str();
  }

  /// Makes the instance adopt a newer document of the store, unless the
  /// instance is disconnected from it.
  void AdoptStoredDocument()
  {
    const auto found = mStore.mObjects.find(kKey);
    if (!mAdoptsDocuments || found == mStore.mObjects.end()) {
      return;
    }
    const auto stored = ParseDocument(found->second.mValue).mValue;
    const auto current = ParseDocument(mInstanceDocument.value_or("")).mValue;
    if (stored && (!current || IsNewer(*stored, *current))) {
      mInstanceDocument = found->second.mValue;
    }
  }

  InstanceResponse Query(Address aControl)
  {
    const bool reached =
      mInstanceUp && (mAllInstancesUp || aControl == kInstance);
    mQueries += 1;
    AdoptStoredDocument();
    return { reached, reached ? mInstanceDocument : std::nullopt };
  }

  FakeStore mStore;
  std::optional<std::string> mInstanceDocument;
  bool mInstanceUp = true;
  bool mAdoptsDocuments = true;
  /// All announced instances respond, not only kInstance.
  bool mAllInstancesUp = false;
  int mQueries = 0;
  int mSubmissions = 0;
  std::ostringstream mOut;
  std::ostringstream mErr;
  std::string mFile = (std::filesystem::temp_directory_path() /
                       ("snipepost-ctl-" + std::to_string(getpid())))
                        .string();
  CommandEnvironment mEnvironment{
    [this](Address) { return std::make_unique<SharedStore>(mStore); },
    [this](Address aControl, const std::string&) { return Query(aControl); },
    [] { return sample::kNow; },
    [](Duration) {},
    [this] { return "new-" + std::to_string(++mSubmissions); },
    [] { return uint64_t{ 1 }; },
    mOut,
    mErr,
    {}
  };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ProgramTest, Fixture)

BOOST_AUTO_TEST_CASE(StoreEditIsAudited)
{
  CheckExitCode("domain out pl-central-a --by ewa", ExitCode::Ok);
  const Document stored = Stored();
  BOOST_TEST(stored.mGeneration.Value() == 8U);
  BOOST_TEST(stored.mChange.mBy == "ewa");
  BOOST_TEST(stored.mChange.mFrom.Value() == 7U);
  BOOST_REQUIRE(stored.mChange.mChanges.size() == 1U);
  BOOST_TEST(stored.mChange.mChanges[0] ==
             "failure domain pl-central-a: state \"in\" -> \"out\"");
  mInstanceDocument = WriteDocument(stored);
  CheckExitCode("domain in pl-central-a", ExitCode::Ok);
  CheckExitCode("audit", ExitCode::Ok);
  for (const char* text : { "generation 7, based on generation 6, by ewa",
                            "generation 8, based on generation 7, by ewa",
                            "generation 9, based on generation 8, by ola" }) {
    BOOST_TEST(mOut.str().find(text) != std::string::npos, text);
  }
}

// Guards against reporting plain success while only the store has the document:
// an outage of the store would then prevent it from taking effect.
BOOST_AUTO_TEST_CASE(P10_StoreDownAfterTheWrite_TheOperatorIsWarned)
{
  mAdoptsDocuments = false;
  CheckExitCode("domain out pl-central-a", ExitCode::Different);
  BOOST_TEST(mOut.str().find("accepted") != std::string::npos);
  BOOST_TEST(mOut.str().find("no instance has the document yet") !=
             std::string::npos);
  mAdoptsDocuments = true;
  CheckExitCode("domain in pl-central-a", ExitCode::Ok);
  BOOST_TEST(mOut.str().find("warning") == std::string::npos);
}

// Guards against a submission whose duration grows with the size of the fleet.
BOOST_AUTO_TEST_CASE(ManyInstances_EditQueriesASample)
{
  constexpr int kFleet = 510;
  for (int i = 0; i < kFleet - 1; ++i) {
    mStore.Set("entries/127.0.3." + std::to_string(i / 250) + ":" +
                 std::to_string(7000 + i % 250),
               "{}");
  }
  mAllInstancesUp = true;
  CheckExitCode("domain out pl-central-a", ExitCode::Ok);
  BOOST_TEST(mQueries <= 9);
  mQueries = 0;
  CheckExitCode("status", ExitCode::Ok);
  BOOST_TEST(mQueries == kFleet);
}

BOOST_AUTO_TEST_CASE(FileIsEditedDiffedAndSubmitted)
{
  FetchToFile();
  CheckExitCode("diff --file FILE", ExitCode::Ok);
  CheckExitCode("service set sizing-desk slots=3 --file FILE", ExitCode::Ok);
  CheckExitCode("diff --file FILE", ExitCode::Different);
  CheckExitCode("validate --file FILE", ExitCode::Ok);
  CheckExitCode("submit --file FILE --json", ExitCode::Ok);
  BOOST_TEST(mOut.str().find("\"verdict\":\"accepted\"") != std::string::npos);
  BOOST_TEST(Stored().mServices[0].mSlots == 3U);
  mInstanceDocument = mStore.mObjects[kKey].mValue;
  // The file now contains the accepted document, which can be edited further.
  CheckExitCode("submit --file FILE", ExitCode::Ok);
  BOOST_TEST(Stored().mGeneration.Value() == 8U);
}

BOOST_AUTO_TEST_CASE(P10_RacingOperators_SubmitShowsBothSides)
{
  FetchToFile();
  CheckExitCode("service set sizing-desk slots=3 --file FILE", ExitCode::Ok);
  CheckExitCode("domain out pl-central-b --by ewa", ExitCode::Ok);
  mInstanceDocument = mStore.mObjects[kKey].mValue;
  CheckExitCode("submit --file FILE", ExitCode::Conflict);
  for (const char* text : { "theirs: generation 8 by ewa",
                            "failure domain pl-central-b: state",
                            "yours: generation 9 by ola",
                            "service sizing-desk: slots 4 -> 3" }) {
    BOOST_TEST(mErr.str().find(text) != std::string::npos, text);
  }
  BOOST_TEST(Stored().mServices[0].mSlots == 4U);
}

// Guards against an unknown outcome that an operator can't resolve later.
BOOST_AUTO_TEST_CASE(P10_LostResponses_StatusResolvesTheUnknownOutcome)
{
  for (const auto fault :
       { StoreFault::LoseRequest, StoreFault::LoseResponse }) {
    Deploy(sample::Rekawica());
    mStore.mObjects.erase("audit/rekawica/7");
    const int first = mStore.mCalls;
    // The first five calls are reads and the write of the audit entry.
    mStore.mBeforeCall = [&](int aCall) {
      return aCall - first >= 5 ? fault : StoreFault::None;
    };
    CheckExitCode("domain out pl-central-a", ExitCode::Unknown);
    const std::string id = "new-" + std::to_string(mSubmissions);
    BOOST_TEST(mErr.str().find("status --submission " + id) !=
               std::string::npos);
    CheckExitCode("status --submission " + id, ExitCode::Unknown);
    mStore.mBeforeCall = nullptr;
    CheckExitCode("status --submission " + id,
                  fault == StoreFault::LoseResponse ? ExitCode::Ok
                                                    : ExitCode::Absent);
  }
}

BOOST_AUTO_TEST_CASE(P10_StoreOlderOrEmpty_RestoreAndEditUseTheNewestDocument)
{
  Document newer = sample::Rekawica();
  newer.mGeneration = Generation(12);
  mInstanceDocument = WriteDocument(newer);
  CheckExitCode("status", ExitCode::Different);
  // An edit is based on the newest document rather than on the stored one.
  CheckExitCode("domain out pl-central-a", ExitCode::Ok);
  const Document accepted = Stored();
  BOOST_TEST(accepted.mGeneration.Value() == 13U);
  mStore.mObjects.erase(kKey);
  CheckExitCode("restore", ExitCode::Ok);
  BOOST_TEST((Stored() == accepted));
  CheckExitCode("status", ExitCode::Ok);
}

// Guards against a status that reports the stored document as being in effect
// although no instance has confirmed this.
BOOST_AUTO_TEST_CASE(P10_StoreOlder_NoInstanceResponds_StatusIsNotOk)
{
  mInstanceUp = false;
  CheckExitCode("status", ExitCode::Different);
  BOOST_TEST(mOut.str().find("no instance sent a valid response") !=
             std::string::npos);
}

// Guards against writing to a store whose rollback can't be detected because no
// instance responds.
BOOST_AUTO_TEST_CASE(P10_StoreOlder_NoInstanceResponds_NothingIsWritten)
{
  mInstanceUp = false;
  CheckExitCode("domain out pl-central-a", ExitCode::Refused);
  CheckExitCode("restore", ExitCode::Refused);
  BOOST_TEST(Stored().mGeneration.Value() == 7U);
  CheckExitCode("domain out pl-central-a --no-instances", ExitCode::Ok);
}

BOOST_AUTO_TEST_CASE(P10_StoreDown_NothingIsWritten)
{
  mStore.mBeforeCall = [](int) { return StoreFault::Refuse; };
  CheckExitCode("domain out pl-central-a", ExitCode::Refused);
  CheckExitCode("validate", ExitCode::Refused);
  CheckExitCode("audit", ExitCode::Refused);
  // Without the announced endpoints, capacity can't be checked.
  const int first = mStore.mCalls;
  mStore.mBeforeCall = [&](int aCall) {
    return aCall - first >= 2 ? StoreFault::Refuse : StoreFault::None;
  };
  CheckExitCode("domain out pl-central-a", ExitCode::Refused);
  BOOST_TEST(Stored().mGeneration.Value() == 7U);
}

// Guards against rejecting every change of a service with minEndpoints: agents
// announce 0 slots, because they read the number of slots from the document.
BOOST_AUTO_TEST_CASE(P10_AgentsAnnounceNoSlots_TheServiceDefinesTheirNumber)
{
  for (auto& [key, object] : mStore.mObjects) {
    if (key.starts_with("endpoints/")) {
      object.mValue.replace(
        object.mValue.find("\"slots\":4"), 9, "\"slots\":0");
    }
  }
  CheckExitCode("validate", ExitCode::Ok);
  CheckExitCode("domain out pl-central-a", ExitCode::Ok);
}

// Guards against a drain of the backend server's own address instead of the
// agent's: it is accepted but has no effect.
BOOST_AUTO_TEST_CASE(RuleForUnannouncedAddress_Warns)
{
  CheckExitCode("backend drain sizing-desk 127.0.9.9:9001", ExitCode::Ok);
  BOOST_TEST(mOut.str().find("no agent announces 127.0.9.9:9001") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(P1_TooLittleCapacity_IsRefusedWithNumbers)
{
  CheckExitCode("plan add domainOut pl-central-a --at 2026-12-05T01:00:00Z",
                ExitCode::Ok);
  mInstanceDocument = mStore.mObjects[kKey].mValue;
  CheckExitCode("plan add domainOut pl-central-b --at 2026-12-05T02:00:00Z",
                ExitCode::Invalid);
  BOOST_TEST(mErr.str().find("2 usable endpoints, minEndpoints is 4") !=
             std::string::npos);
  CheckExitCode("backend drain sizing-desk 127.0.2.1:9001", ExitCode::Invalid);
}

BOOST_AUTO_TEST_CASE(OptionsOverrideVariables_UsageErrorsAreReported)
{
  mEnvironment.mVariables["SNIPEPOST_STORE"] = "nowhere";
  CheckExitCode("show", ExitCode::Usage);
  CheckExitCode("show --store 127.0.0.9:1", ExitCode::Ok);
  CheckExitCode("show --store 127.0.0.9:1 --instance 127.0.0.9:1,x",
                ExitCode::Usage);
  CheckExitCode("frob", ExitCode::Usage);
  CheckExitCode("domain out", ExitCode::Usage);
  CheckExitCode("show --colour", ExitCode::Usage);
  CheckExitCode("--store 127.0.0.9:1 plan add drain x --at noon",
                ExitCode::Usage);
}

BOOST_AUTO_TEST_SUITE_END()
