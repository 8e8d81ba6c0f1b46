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

/// Passes calls on to a store that outlives one command.
class SharedStore : public ObjectStore
{
public:
  explicit SharedStore(FakeStore& aStore)
    : mStore(aStore)
  {
  }
  StoreAnswer Get(const std::string& aKey) override { return mStore.Get(aKey); }
  StoreAnswer List(const std::string& aPrefix) override
  {
    return mStore.List(aPrefix);
  }
  StoreAnswer Put(const std::string& aKey,
                  const std::string& aValue,
                  std::optional<ObjectVersion> aVersion) override
  {
    return mStore.Put(aKey, aValue, aVersion);
  }

private:
  FakeStore& mStore;
};

/// A store, one instance that holds what the store held last, and a file.
struct Fixture
{
  Fixture()
  {
    mEnvironment.mVariables = { { "SNIPEPOST_DEPLOYMENT", "rekawica" },
                                { "SNIPEPOST_STORE", "127.0.0.9:9999" },
                                { "SNIPEPOST_BY", "ola" } };
    Accept(sample::Rekawica());
    mStore.Set("entries/127.0.0.9:7000", "{}");
    for (int i = 0; i < 10; ++i) {
      const std::string service = i < 7 ? "sizing-desk" : "pattern-store";
      const std::string domain = std::to_string(1 + i % 3);
      mStore.Set("endpoints/" + service + "/127.0.2.1:900" + std::to_string(i),
                 "{\"domain\":" + domain + ",\"slots\":4}");
    }
  }

  ~Fixture() { std::filesystem::remove(mFile); }

  void Accept(const Document& aDocument)
  {
    mHeld = WriteDocument(aDocument);
    mStore.Set(kKey, *mHeld);
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

  bool Gives(const std::string& aLine, ExitCode aCode)
  {
    const ExitCode code = Run(aLine);
    BOOST_TEST((code == aCode),
               aLine << ": " << int(code) << " " << mOut.str() << mErr.str());
    return code == aCode;
  }

  void SaveShown()
  {
    Gives("show", ExitCode::Ok);
    std::ofstream(mFile) << mOut.str();
  }

  /// An instance adopts a newer document of the store, unless it is cut off
  /// from it.
  void Follow()
  {
    const auto found = mStore.mObjects.find(kKey);
    if (!mFollows || found == mStore.mObjects.end()) {
      return;
    }
    const auto stored = ParseDocument(found->second.mValue).mValue;
    const auto held = ParseDocument(mHeld.value_or("")).mValue;
    if (stored && (!held || IsNewer(*stored, *held))) {
      mHeld = found->second.mValue;
    }
  }

  InstanceAnswer Ask(Address aControl)
  {
    const bool reached = mInstanceUp && (mAllUp || aControl == kInstance);
    mAsked += 1;
    Follow();
    return { reached, reached ? mHeld : std::nullopt };
  }

  FakeStore mStore;
  std::optional<std::string> mHeld;
  bool mInstanceUp = true;
  bool mFollows = true;
  /// Every announced instance answers.
  bool mAllUp = false;
  int mAsked = 0;
  int mSubmissions = 0;
  std::ostringstream mOut;
  std::ostringstream mErr;
  std::string mFile = (std::filesystem::temp_directory_path() /
                       ("snipepost-ctl-" + std::to_string(getpid())))
                        .string();
  Environment mEnvironment{
    [this](Address) { return std::make_unique<SharedStore>(mStore); },
    [this](Address aControl, const std::string&) { return Ask(aControl); },
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

BOOST_AUTO_TEST_CASE(AnEditOfTheStoreIsAudited)
{
  Gives("domain out pl-central-a --by ewa", ExitCode::Ok);
  const Document stored = Stored();
  BOOST_TEST(stored.mGeneration.Value() == 8U);
  BOOST_TEST(stored.mChange.mBy == "ewa");
  BOOST_TEST(stored.mChange.mFrom.Value() == 7U);
  BOOST_REQUIRE(stored.mChange.mChanges.size() == 1U);
  BOOST_TEST(stored.mChange.mChanges[0] ==
             "failure domain pl-central-a: state \"in\" -> \"out\"");
  mHeld = WriteDocument(stored);
  Gives("domain in pl-central-a", ExitCode::Ok);
  Gives("audit", ExitCode::Ok);
  for (const char* text : { "generation 7 from 6 by ewa",
                            "generation 8 from 7 by ewa",
                            "generation 9 from 8 by ola" }) {
    BOOST_TEST(mOut.str().find(text) != std::string::npos, text);
  }
}

// Guards against an operator who leaves although only the store has the
// document: an outage would keep it from coming into force.
BOOST_AUTO_TEST_CASE(P10_StoreDownAfterTheWrite_TheOperatorIsWarned)
{
  mFollows = false;
  Gives("domain out pl-central-a", ExitCode::Different);
  BOOST_TEST(mOut.str().find("accepted") != std::string::npos);
  BOOST_TEST(mOut.str().find("no instance holds it yet") != std::string::npos);
  mFollows = true;
  Gives("domain in pl-central-a", ExitCode::Ok);
  BOOST_TEST(mOut.str().find("warning") == std::string::npos);
}

// Guards against a submission that takes as long as the fleet is large.
BOOST_AUTO_TEST_CASE(ManyInstances_AnEditAsksAFew)
{
  constexpr int kFleet = 510;
  for (int i = 0; i < kFleet - 1; ++i) {
    mStore.Set("entries/127.0.3." + std::to_string(i / 250) + ":" +
                 std::to_string(7000 + i % 250),
               "{}");
  }
  mAllUp = true;
  Gives("domain out pl-central-a", ExitCode::Ok);
  BOOST_TEST(mAsked <= 9);
  mAsked = 0;
  Gives("status", ExitCode::Ok);
  BOOST_TEST(mAsked == kFleet);
}

BOOST_AUTO_TEST_CASE(AFileIsEditedComparedAndSubmitted)
{
  SaveShown();
  Gives("diff --file FILE", ExitCode::Ok);
  Gives("service set sizing-desk slots=3 --file FILE", ExitCode::Ok);
  Gives("diff --file FILE", ExitCode::Different);
  Gives("validate --file FILE", ExitCode::Ok);
  Gives("submit --file FILE --json", ExitCode::Ok);
  BOOST_TEST(mOut.str().find("\"verdict\":\"accepted\"") != std::string::npos);
  BOOST_TEST(Stored().mServices[0].mSlots == 3U);
  mHeld = mStore.mObjects[kKey].mValue;
  // The file has become the accepted document, ready for the next edit.
  Gives("submit --file FILE", ExitCode::Ok);
  BOOST_TEST(Stored().mGeneration.Value() == 8U);
}

BOOST_AUTO_TEST_CASE(P10_RacingOperators_SubmitShowsBothSides)
{
  SaveShown();
  Gives("service set sizing-desk slots=3 --file FILE", ExitCode::Ok);
  Gives("domain out pl-central-b --by ewa", ExitCode::Ok);
  mHeld = mStore.mObjects[kKey].mValue;
  Gives("submit --file FILE", ExitCode::Conflict);
  for (const char* text : { "theirs: generation 8 by ewa",
                            "failure domain pl-central-b: state",
                            "yours: generation 9 by ola",
                            "service sizing-desk: slots 4 -> 3" }) {
    BOOST_TEST(mErr.str().find(text) != std::string::npos, text);
  }
  BOOST_TEST(Stored().mServices[0].mSlots == 4U);
}

// Guards against an operator who is left with an unknown outcome for good.
BOOST_AUTO_TEST_CASE(P10_LostAnswers_UnknownIsSettledByStatus)
{
  for (const auto fault : { StoreFault::LoseBefore, StoreFault::LoseAfter }) {
    Accept(sample::Rekawica());
    mStore.mObjects.erase("audit/rekawica/7");
    const int first = mStore.mCalls;
    // The first five calls read and copy the audit entry.
    mStore.mBeforeCall = [&](int aCall) {
      return aCall - first >= 5 ? fault : StoreFault::None;
    };
    Gives("domain out pl-central-a", ExitCode::Unknown);
    const std::string id = "new-" + std::to_string(mSubmissions);
    BOOST_TEST(mErr.str().find("status --submission " + id) !=
               std::string::npos);
    Gives("status --submission " + id, ExitCode::Unknown);
    mStore.mBeforeCall = nullptr;
    Gives("status --submission " + id,
          fault == StoreFault::LoseAfter ? ExitCode::Ok : ExitCode::Absent);
  }
}

BOOST_AUTO_TEST_CASE(P10_StoreOlderOrEmpty_RestoreWritesBackAndKeepsOrder)
{
  Document newer = sample::Rekawica();
  newer.mGeneration = Generation(12);
  mHeld = WriteDocument(newer);
  Gives("status", ExitCode::Different);
  // An edit continues from the highest document, not from the store's.
  Gives("domain out pl-central-a", ExitCode::Ok);
  const Document accepted = Stored();
  BOOST_TEST(accepted.mGeneration.Value() == 13U);
  mStore.mObjects.erase(kKey);
  Gives("restore", ExitCode::Ok);
  BOOST_TEST((Stored() == accepted));
  Gives("status", ExitCode::Ok);
}

// Guards against a status that calls the store's document the one in force
// although nobody who holds it was asked.
BOOST_AUTO_TEST_CASE(P10_StoreOlder_NoInstanceAnswers_StatusIsNotOk)
{
  mInstanceUp = false;
  Gives("status", ExitCode::Different);
  BOOST_TEST(mOut.str().find("no instance answered") != std::string::npos);
}

// Guards against writing on top of a rolled back store that nothing shows to
// be rolled back.
BOOST_AUTO_TEST_CASE(P10_StoreOlder_NoInstanceAnswers_NothingIsWritten)
{
  mInstanceUp = false;
  Gives("domain out pl-central-a", ExitCode::Refused);
  Gives("restore", ExitCode::Refused);
  BOOST_TEST(Stored().mGeneration.Value() == 7U);
  Gives("domain out pl-central-a --no-instances", ExitCode::Ok);
}

BOOST_AUTO_TEST_CASE(P10_StoreDown_NothingIsWritten)
{
  mStore.mBeforeCall = [](int) { return StoreFault::Refuse; };
  Gives("domain out pl-central-a", ExitCode::Refused);
  Gives("validate", ExitCode::Refused);
  Gives("audit", ExitCode::Refused);
  // Without the announcements nothing can be said about capacity.
  const int first = mStore.mCalls;
  mStore.mBeforeCall = [&](int aCall) {
    return aCall - first >= 2 ? StoreFault::Refuse : StoreFault::None;
  };
  Gives("domain out pl-central-a", ExitCode::Refused);
  BOOST_TEST(Stored().mGeneration.Value() == 7U);
}

// Guards against refusing every change of a service with minEndpoints: agents
// announce 0 slots because the document tells them the number.
BOOST_AUTO_TEST_CASE(P10_AgentsAnnounceNoSlots_TheServiceTellsTheirNumber)
{
  for (auto& [key, object] : mStore.mObjects) {
    if (key.starts_with("endpoints/")) {
      object.mValue.replace(
        object.mValue.find("\"slots\":4"), 9, "\"slots\":0");
    }
  }
  Gives("validate", ExitCode::Ok);
  Gives("domain out pl-central-a", ExitCode::Ok);
}

// Guards against a drain that names the backend server's own address, which is
// accepted and drains nothing.
BOOST_AUTO_TEST_CASE(RuleForAnAddressThatNobodyAnnounces_Warns)
{
  Gives("backend drain sizing-desk 127.0.9.9:9001", ExitCode::Ok);
  BOOST_TEST(mOut.str().find("nobody announces 127.0.9.9:9001") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(P1_TooLittleCapacity_IsRefusedWithNumbers)
{
  Gives("plan add domainOut pl-central-a --at 2026-12-05T01:00:00Z",
        ExitCode::Ok);
  mHeld = mStore.mObjects[kKey].mValue;
  Gives("plan add domainOut pl-central-b --at 2026-12-05T02:00:00Z",
        ExitCode::Invalid);
  BOOST_TEST(mErr.str().find("2 usable endpoints, minEndpoints is 4") !=
             std::string::npos);
  Gives("backend drain sizing-desk 127.0.2.1:9001", ExitCode::Invalid);
}

BOOST_AUTO_TEST_CASE(FlagsWinOverVariablesAndMistakesAreNamed)
{
  mEnvironment.mVariables["SNIPEPOST_STORE"] = "nowhere";
  Gives("show", ExitCode::Usage);
  Gives("show --store 127.0.0.9:1", ExitCode::Ok);
  Gives("show --store 127.0.0.9:1 --instance 127.0.0.9:1,x", ExitCode::Usage);
  Gives("frob", ExitCode::Usage);
  Gives("domain out", ExitCode::Usage);
  Gives("show --colour", ExitCode::Usage);
  Gives("--store 127.0.0.9:1 plan add drain x --at noon", ExitCode::Usage);
}

BOOST_AUTO_TEST_SUITE_END()
