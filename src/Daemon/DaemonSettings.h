#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/KeyedTag.h>
#include <snipepost/Membership/Records.h>
#include <snipepost/Settings/Log.h>
#include <snipepost/Settings/Schema.h>

namespace snipepost {

/// The settings of snipepostd.
struct DaemonSettings
{
  InstanceRole mRole = InstanceRole::Entry;
  std::string mDeployment;
  Address mListen;
  Address mStore;
  std::vector<Address> mPeers;
  std::vector<Address> mFabric;
  uint64_t mDomain = 0;
  uint64_t mRegion = 0;
  uint64_t mService = 0;
  std::optional<Address> mBackend;
  std::optional<SecretKey> mKey;
  std::optional<SecretKey> mOtherKey;
  uint64_t mKeySlot = 0;
  std::string mCertificate;
  std::string mPrivateKey;
  std::chrono::milliseconds mLease{};
  std::chrono::milliseconds mProbeInterval{};
  std::chrono::milliseconds mExchangeInterval{};
  std::chrono::milliseconds mLeaveTime{};
  LogLevel mLogLevel = LogLevel::Info;
  LogFormat mLogFormat = LogFormat::Text;

  /// Key ring with the active secret and, during a rotation, the one that is
  /// used only for verification. The settings must have been validated.
  KeyRing Keys() const;
};

/// The schema of snipepostd's settings.
Schema<DaemonSettings>
DaemonSchema();

/// Checks ranges and the combination of settings, such as an agent without a
/// backend server, and appends the errors. Settings that already have a parse
/// error are not reported again.
void
ValidateSettings(const DaemonSettings& aSettings, SettingsReport& aReport);

} // namespace snipepost
