#include <algorithm>

#include <boost/test/unit_test.hpp>

#include <src/Daemon/DaemonSettings.h>

using namespace snipepost;

namespace {

const std::vector<std::string> kAgentArguments{
  "--role",    "agent",
  "--listen",  "127.0.0.1:7001",
  "--store",   "127.0.0.1:7000",
  "--peers",   "127.0.0.1:7002",
  "--backend", "127.0.0.1:7003",
  "--domain",  "3",
  "--service", "1",
  "--key",     "000102030405060708090a0b0c0d0e0f"
};

SettingsReport
Load(const std::vector<std::string>& aArguments, DaemonSettings& aSettings)
{
  const auto emptyEnvironment = [](const std::string&) { return std::nullopt; };
  auto report = DaemonSchema().Load(aArguments, emptyEnvironment, aSettings);
  ValidateSettings(aSettings, report);
  return report;
}

SettingsReport
Load(std::vector<std::string> aArguments)
{
  DaemonSettings settings;
  return Load(aArguments, settings);
}

std::vector<std::string>
Flags(const SettingsReport& aReport)
{
  std::vector<std::string> flags;
  for (const std::string& error : aReport.mErrors) {
    flags.push_back(error.substr(0, error.find(' ')));
  }
  std::ranges::sort(flags);
  return flags;
}

void
ExpectErrorsFor(const SettingsReport& aReport,
                const std::vector<std::string>& aExpected)
{
  BOOST_TEST(Flags(aReport) == aExpected, boost::test_tools::per_element());
}

} // namespace

BOOST_AUTO_TEST_SUITE(DaemonSettingsTest)

BOOST_AUTO_TEST_CASE(AgentSettingsAreLoaded)
{
  DaemonSettings settings;
  ExpectErrorsFor(Load(kAgentArguments, settings), {});
  BOOST_TEST((settings.mRole == InstanceRole::Agent));
  BOOST_TEST(settings.mDomain == 3U);
  BOOST_TEST((settings.mBackend == Address{ 0x7f000001, 7003 }));
  BOOST_TEST(settings.mLease.count() == 90000);
}

// Guards against a start that reports only the first error: invalid, missing
// and out-of-range settings are reported together, each once.
BOOST_AUTO_TEST_CASE(AllInvalidSettingsAreReportedAtOnce)
{
  ExpectErrorsFor(Load({ "--role",        "agent", "--listen",     "nonsense",
                         "--store",       "1.2.3", "--domain",     "999",
                         "--region",      "256",   "--service",    "70000",
                         "--key",         "zz",    "--key-slot",   "2",
                         "--certificate", "a.pem", "--lease-ms",   "0",
                         "--leave-ms",    "soon",  "--backend",    "x",
                         "--log-level",   "loud",  "--log-format", "xml" }),
                  { "--backend",
                    "--certificate",
                    "--domain",
                    "--key",
                    "--key-slot",
                    "--lease-ms",
                    "--leave-ms",
                    "--listen",
                    "--log-format",
                    "--log-level",
                    "--region",
                    "--service",
                    "--store" });
}

BOOST_AUTO_TEST_CASE(RoleSpecificSettingsAreRequired)
{
  ExpectErrorsFor(Load({ "--role",
                         "agent",
                         "--listen",
                         "127.0.0.1:1",
                         "--store",
                         "127.0.0.1:2" }),
                  { "--backend", "--key", "--service" });
  ExpectErrorsFor(Load({ "--role",
                         "entry",
                         "--listen",
                         "127.0.0.1:1",
                         "--store",
                         "127.0.0.1:2" }),
                  { "--fabric", "--key" });
}

// Guards against a secret that --check prints.
BOOST_AUTO_TEST_CASE(CheckPrintsSourcesAndMasksSecrets)
{
  auto arguments = kAgentArguments;
  arguments.emplace_back("--check");
  const auto report = Load(arguments);
  BOOST_TEST((report.mRequest == SettingsRequest::Check));
  const std::string text = CheckText(report);
  BOOST_TEST(text.find("domain = 3 (flag)") != std::string::npos);
  BOOST_TEST(text.find("lease-ms = 90000 (default)") != std::string::npos);
  BOOST_TEST(text.find("key = ********") != std::string::npos);
  BOOST_TEST(text.find("0001020304") == std::string::npos);
}

// Guards against a rotation step that signs with the wrong key.
BOOST_AUTO_TEST_CASE(P1_KeyRotation_TheOtherKeyGoesIntoTheOtherSlot)
{
  DaemonSettings settings;
  auto arguments = kAgentArguments;
  for (const char* text : { "--key-slot",
                            "1",
                            "--other-key",
                            "ffeeddccbbaa99887766554433221100" }) {
    arguments.emplace_back(text);
  }
  ExpectErrorsFor(Load(arguments, settings), {});
  const KeyRing ring = settings.Keys();
  const std::vector<uint8_t> bytes{ 1, 2, 3 };
  BOOST_TEST(ring.ActiveSlot() == 1);
  BOOST_TEST((ring.Tag(1, bytes) == KeyRing(*settings.mKey).Tag(0, bytes)));
  BOOST_TEST(
    (ring.Tag(0, bytes) == KeyRing(*settings.mOtherKey).Tag(0, bytes)));
}

BOOST_AUTO_TEST_SUITE_END()
