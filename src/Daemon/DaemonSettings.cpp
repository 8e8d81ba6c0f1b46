#include <src/Daemon/DaemonSettings.h>

#include <algorithm>
#include <limits>

namespace snipepost {

// Found by Schema::Add for the settings whose types are enumerations.

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

/// Collects faults, at most one for each setting: a value that could not be
/// parsed would otherwise be reported as missing too.
class Faults
{
public:
  explicit Faults(std::vector<std::string>& aErrors)
    : mErrors(aErrors)
  {
  }

  bool Reported(const std::string& aName) const
  {
    const std::string start = "--" + aName + " ";
    return std::any_of(
      mErrors.begin(), mErrors.end(), [&](const std::string& aError) {
        return aError.starts_with(start);
      });
  }

  void Require(const std::string& aName, bool aHolds, const std::string& aText)
  {
    if (!aHolds && !Reported(aName)) {
      mErrors.push_back("--" + aName + " " + aText);
    }
  }

  template<typename Number>
  void AtMost(const std::string& aName, uint64_t aValue)
  {
    constexpr uint64_t kMax = std::numeric_limits<Number>::max();
    Require(aName, aValue <= kMax, "must be at most " + std::to_string(kMax));
  }

  void Positive(const std::string& aName, std::chrono::milliseconds aTime)
  {
    Require(aName, aTime.count() > 0, "must be above 0");
  }

private:
  std::vector<std::string>& mErrors;
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
         "entry instances to ask when the store is out, by commas")
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
         "secret that only verifies, during a rotation")
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
         "time for which this instance's record stays in the store")
    .Add("probe-interval-ms",
         &S::mProbeInterval,
         "500",
         "time between two probes of one instance")
    .Add("exchange-interval-ms",
         &S::mExchangeInterval,
         "500",
         "time between two exchanges with peers")
    .Add("leave-ms",
         &S::mLeaveTime,
         "2000",
         "time for which a leaving entry instance still relays")
    .Add("log-level", &S::mLogLevel, "info", "debug, info, warning or error")
    .Add("log-format", &S::mLogFormat, "text", "text or json");
  return schema;
}

void
CheckTogether(const DaemonSettings& aSettings,
              std::vector<std::string>& aErrors)
{
  Faults faults(aErrors);
  const bool agent = aSettings.mRole == InstanceRole::Agent;
  const bool entry = !agent && !faults.Reported("role");
  faults.AtMost<uint8_t>("domain", aSettings.mDomain);
  faults.AtMost<uint8_t>("region", aSettings.mRegion);
  faults.AtMost<uint16_t>("service", aSettings.mService);
  faults.Require("key", aSettings.mKey.has_value(), "is missing");
  faults.Require("key-slot", aSettings.mKeySlot <= 1, "must be 0 or 1");
  faults.Require("service",
                 !agent || aSettings.mService > 0,
                 "is missing: an agent serves one service");
  faults.Require("backend",
                 !agent || aSettings.mBackend.has_value(),
                 "is missing: an agent needs one");
  faults.Require("fabric",
                 !entry || !aSettings.mFabric.empty(),
                 "is missing: an entry instance needs one");
  faults.Require("certificate",
                 aSettings.mCertificate.empty() ==
                   aSettings.mPrivateKey.empty(),
                 "and --private-key go together");
  faults.Positive("lease-ms", aSettings.mLease);
  faults.Positive("probe-interval-ms", aSettings.mProbeInterval);
  faults.Positive("exchange-interval-ms", aSettings.mExchangeInterval);
}

} // namespace snipepost
