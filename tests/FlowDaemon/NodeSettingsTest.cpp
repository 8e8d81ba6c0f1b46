#include <cstdlib>
#include <fstream>

#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "src/FlowDaemon/NodeSettings.h"

using namespace snipepost;

namespace {

const Environment kNoEnvironment = [](const std::string&) {
  return std::optional<std::string>();
};

/// A temporary settings file, removed by the destructor.
class File
{
public:
  explicit File(const std::string& aText)
  {
    const int descriptor = mkstemp(mPath.data());
    BOOST_REQUIRE(descriptor >= 0);
    close(descriptor);
    std::ofstream(mPath) << aText;
  }
  ~File() { unlink(mPath.c_str()); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  std::string mPath = "/tmp/snipepost-settings-XXXXXX";
};

const std::string kEntry = "# comment\n"
                           "name = entry-1\n"
                           "failure-domain = a\n"
                           "packets = 10.0.0.1:8172\n"
                           "readiness = 10.0.0.1:8167\n"
                           "seeds = 10.0.0.2:1,10.0.0.3:1\n"
                           "internal-port = 7720\n"
                           "store = 10.0.0.9:8169\n"
                           "of-a-later-version = 7\n";

SettingsReport
Load(std::vector<std::string> aArguments,
     const std::string& aText,
     NodeSettings& aOut)
{
  const File file(aText);
  aArguments.insert(aArguments.end(), { "--settings-file", file.mPath });
  return LoadNodeSettings(aArguments, kNoEnvironment, aOut);
}

} // namespace

BOOST_AUTO_TEST_SUITE(NodeSettingsTest)

BOOST_AUTO_TEST_CASE(FlagsOverrideTheSettingsFile)
{
  NodeSettings settings;
  const auto report =
    Load({ "--role", "entry", "--name", "other" }, kEntry, settings);
  BOOST_TEST(report.mErrors.empty());
  BOOST_TEST(settings.mName == "other");
  BOOST_TEST(settings.mDomain == "a");
  BOOST_TEST(settings.mSeeds.size() == 2U);
  BOOST_TEST(settings.mInternalPort == 7720U);
  BOOST_TEST(ToString(settings.mStore) == "10.0.0.9:8169");
}

BOOST_AUTO_TEST_CASE(EveryInvalidSettingIsReported)
{
  NodeSettings settings;
  const auto report = Load(
    { "--role", "chief" }, "packets = nowhere\ninternal-port = x\n", settings);
  BOOST_TEST(report.mErrors.size() >= 4U);
}

BOOST_AUTO_TEST_CASE(AgentRequiresItsBackendSettings)
{
  NodeSettings settings;
  const auto report = Load({ "--role", "agent" }, kEntry, settings);
  BOOST_TEST(report.mErrors.size() == 4U);
}

BOOST_AUTO_TEST_CASE(MissingFileIsAnError)
{
  NodeSettings settings;
  const auto report =
    LoadNodeSettings({ "--role", "entry", "--settings-file", "/nowhere/x" },
                     kNoEnvironment,
                     settings);
  BOOST_TEST(!report.mErrors.empty());
}

// Guards against scheduling or overflow that can't be switched off, or is off
// by default.
BOOST_AUTO_TEST_CASE(SchedulingAndOverflowAreOnUnlessSwitchedOff)
{
  for (const std::string value : { "", "yes", "no", "maybe" }) {
    const std::string line =
      value.empty() ? ""
                    : "schedule-flows = " + value +
                        "\noverflow-between-services = " + value + "\n";
    NodeSettings settings;
    const auto report = Load({ "--role", "entry" }, kEntry + line, settings);
    BOOST_TEST(report.mErrors.size() == (value == "maybe" ? 2U : 0U));
    const bool isOn = settings.mScheduleFlows == FlowScheduling::On;
    BOOST_TEST(isOn == (value != "no"));
    const bool overflows =
      settings.mOverflowBetweenServices == ServiceOverflow::On;
    BOOST_TEST(overflows == (value != "no"));
  }
}

// Other instances must use the advertised address, not the one that is bound.
BOOST_AUTO_TEST_CASE(AdvertisedAddressIsTheIdentity)
{
  for (const std::string advertised : { "", "10.0.0.9:9000" }) {
    const File file(kEntry + "advertise = " + advertised + "\n");
    NodeSettings settings;
    const auto report =
      LoadNodeSettings({ "--role", "entry", "--settings-file", file.mPath },
                       kNoEnvironment,
                       settings);
    BOOST_TEST(report.mErrors.empty());
    BOOST_TEST(ToString(settings.Identity()) ==
               (advertised.empty() ? "10.0.0.1:8172" : advertised));
  }
}

BOOST_AUTO_TEST_SUITE_END()
