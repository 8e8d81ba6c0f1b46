#include <boost/test/unit_test.hpp>

#include <map>

#include <snipepost/Settings/Schema.h>

using namespace snipepost;

namespace {

struct Sample
{
  Address mListen;
  uint64_t mLimit = 0;
  std::optional<SecretKey> mKey;
};

Schema<Sample>
SampleSchema()
{
  Schema<Sample> schema;
  schema.Add("listen", &Sample::mListen, "127.0.0.1:1", "address")
    .Add("limit", &Sample::mLimit, "5", "limit")
    .Add("key", &Sample::mKey, "", "key")
    .Secret();
  return schema;
}

Environment
FakeEnvironment(std::map<std::string, std::string> aValues)
{
  return [aValues](const std::string& aName) -> std::optional<std::string> {
    const auto found = aValues.find(aName);
    if (found == aValues.end()) {
      return std::nullopt;
    }
    return found->second;
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(SchemaTest)

BOOST_AUTO_TEST_CASE(FlagOverridesEnvironmentWhichOverridesDefault)
{
  Sample sample;
  const auto report = SampleSchema().Load(
    { "--limit", "7" },
    FakeEnvironment(
      { { "SNIPEPOST_LIMIT", "6" }, { "SNIPEPOST_LISTEN", "127.0.0.1:9" } }),
    sample);
  BOOST_TEST(report.mErrors.empty());
  BOOST_TEST(sample.mLimit == 7U);
  BOOST_TEST(sample.mListen.mPort == 9);
  BOOST_TEST((report.mEffective[1].mSource == SettingSource::Flag));
  BOOST_TEST((report.mEffective[0].mSource == SettingSource::Environment));
}

// Guards against reporting only the first invalid setting, which would cost an
// operator one run per mistake.
BOOST_AUTO_TEST_CASE(ReportsAllInvalidSettingsInOneRun)
{
  Sample sample;
  const auto report = SampleSchema().Load(
    { "--limit", "x", "--listen", "nowhere", "--colour", "red" },
    FakeEnvironment({ { "SNIPEPOST_KEY", "short" } }),
    sample);
  BOOST_TEST(report.mErrors.size() >= 4U);
}

// Guards against printing secrets to logs and terminals.
BOOST_AUTO_TEST_CASE(CheckTextMasksSecrets)
{
  Sample sample;
  const std::string secret(32, 'a');
  const auto report = SampleSchema().Load(
    { "--check", "--key", secret }, FakeEnvironment({}), sample);
  BOOST_TEST((report.mRequest == SettingsRequest::Check));
  BOOST_TEST(sample.mKey.has_value());
  BOOST_TEST(CheckText(report).find(secret) == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
