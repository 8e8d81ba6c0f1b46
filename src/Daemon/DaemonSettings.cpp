#include <src/Daemon/DaemonSettings.h>

#include <algorithm>
#include <limits>

namespace snipepost {

// Parsers for enumeration types, which Schema::Add finds by argument-dependent
// lookup.

static std::string
Value(const std::string& aText, InstanceRole& aOut)
{
  if (aText != "entry" && aText != "agent") {
    return "expected entry or agent";
  }
  aOut = aText == "entry" ? InstanceRole::Entry : InstanceRole::Agent;
  return {};
}

static std::string
Value(const std::string& aText, LogLevel& aOut)
{
  return ParseLogLevel(aText, aOut) ? ""
                                    : "expected debug, info, warning or error";
}

static std::string
Value(const std::string& aText, LogFormat& aOut)
{
  if (aText != "text" && aText != "json") {
    return "expected text or json";
  }
  aOut = aText == "json" ? LogFormat::Json : LogFormat::Text;
  return {};
}

namespace {

/// Appends errors for settings that have no parse error.
class Checker
{
public:
  explicit Checker(std::vector<std::string>& aErrors)
    : mErrors(aErrors)
    , mParseErrors(aErrors)
  {
  }

  void Require(bool aHolds, const std::string& aName, const char* aText)
  {
    const std::string flag = "--" + aName + " ";
    const bool reported =
      std::ranges::any_of(mParseErrors, [&](const std::string& aError) {
        return aError.starts_with(flag);
      });
    if (!aHolds && !reported) {
      mErrors.push_back(flag + aText);
    }
  }

  template<typename Number>
  void RequireRange(const char* aName, uint64_t aValue)
  {
    constexpr uint64_t kMax = std::numeric_limits<Number>::max();
    const std::string text = "must be at most " + std::to_string(kMax);
    Require(aValue <= kMax, aName, text.c_str());
  }

private:
  std::vector<std::string>& mErrors;
  const std::vector<std::string> mParseErrors;
};

} // namespace

KeyRing
DaemonSettings::Keys() const
{
  const auto slot = static_cast<uint8_t>(mKeySlot);
  KeyRing ring(*mKey, slot);
  if (mOtherKey) {
    ring.Install(*mOtherKey, static_cast<uint8_t>(1 - slot));
  }
  return ring;
}

Schema<DaemonSettings>
DaemonSchema()
{
  using S = DaemonSettings;
  Schema<DaemonSettings> schema;
  schema.Add("role", &S::mRole, "", "entry or agent")
    .Add("deployment", &S::mDeployment, "default", "name of the deployment")
    .Add("listen",
         &S::mListen,
         "",
         "address of this instance: UDP for packets, TCP for control")
    .Add("store", &S::mStore, "", "address of the platform's object API")
    .Add("peers",
         &S::mPeers,
         "",
         "comma-separated addresses of entry instances, used to join when the "
         "store is not reachable")
    .Add("fabric",
         &S::mFabric,
         "",
         "addresses from which the fabric delivers callers' datagrams "
         "(entry)")
    .Add("domain", &S::mDomain, "0", "number of the failure domain")
    .Add("region", &S::mRegion, "0", "number of the region")
    .Add("service", &S::mService, "0", "number of the service (agent)")
    .Add("backend", &S::mBackend, "", "address of the backend server (agent)")
    .Add("key", &S::mKey, "", "shared secret, 32 hexadecimal digits")
    .Secret()
    .Add("other-key",
         &S::mOtherKey,
         "",
         "secret used only for verification, during a rotation")
    .Secret()
    .Add("key-slot", &S::mKeySlot, "0", "slot of --key: 0 or 1")
    .Add("certificate",
         &S::mCertificate,
         "",
         "PEM file with the certificate chain (agent); empty: self-signed")
    .Add("private-key", &S::mPrivateKey, "", "PEM file (agent)")
    .Add("lease-ms",
         &S::mLease,
         "90000",
         "time after which this instance's record expires in the store unless "
         "renewed")
    .Add("probe-interval-ms",
         &S::mProbeInterval,
         "1000",
         "time between two probes of an instance that replies; after a lost "
         "probe, a quarter of this time")
    .Add("exchange-interval-ms",
         &S::mExchangeInterval,
         "500",
         "time between two exchanges with peers; up to 4 times as long while "
         "nothing changes")
    .Add("leave-ms",
         &S::mLeaveTime,
         "2000",
         "time for which a leaving entry instance still relays packets")
    .Add("log-level", &S::mLogLevel, "info", "debug, info, warning or error")
    .Add("log-format", &S::mLogFormat, "text", "text or json");
  return schema;
}

void
ValidateSettings(const DaemonSettings& aSettings, SettingsReport& aReport)
{
  const bool agent = aSettings.mRole == InstanceRole::Agent;
  Checker check(aReport.mErrors);
  check.RequireRange<uint8_t>("domain", aSettings.mDomain);
  check.RequireRange<uint8_t>("region", aSettings.mRegion);
  check.RequireRange<uint16_t>("service", aSettings.mService);
  check.Require(aSettings.mKey.has_value(), "key", "is missing");
  check.Require(aSettings.mKeySlot <= 1, "key-slot", "must be 0 or 1");
  check.Require(!agent || aSettings.mService != 0,
                "service",
                "is missing: an agent serves one service");
  check.Require(
    !agent || aSettings.mBackend, "backend", "is missing: an agent needs one");
  check.Require(agent || !aSettings.mFabric.empty(),
                "fabric",
                "is missing: an entry instance needs one");
  check.Require(aSettings.mCertificate.empty() == aSettings.mPrivateKey.empty(),
                "certificate",
                "and --private-key must be set together");
  check.Require(aSettings.mLease.count() != 0, "lease-ms", "must be above 0");
  check.Require(aSettings.mProbeInterval.count() != 0,
                "probe-interval-ms",
                "must be above 0");
  check.Require(aSettings.mExchangeInterval.count() != 0,
                "exchange-interval-ms",
                "must be above 0");
}

} // namespace snipepost
