#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

#include "Backend.h"
#include "tools/common/Program.h"

namespace snipepost::tools {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 7> kFaultNames{
  "turnCold",  "fallOver",    "drain",  "stall",
  "lieHealth", "lieInFlight", "lieWarm"
};

/// The overriding value, or nothing for null, which ends the override.
template<typename T>
std::optional<T>
ReadOverride(const json::value& aValue)
{
  if (aValue.is_null()) {
    return std::nullopt;
  }
  return json::value_to<T>(aValue);
}

template<typename T>
json::value
OverrideToJson(const std::optional<T>& aOverride)
{
  return aOverride ? json::value(*aOverride) : json::value(nullptr);
}

} // namespace

void
Backend::OnFault(const http2::ServerRequest& aRequest,
                 const ResponderPointer& aResponder)
{
  int status = 200;
  if (aRequest.mMethod == "POST") {
    try {
      const json::value faults = json::parse(aRequest.mBody);
      for (const auto& [name, value] : faults.as_object()) {
        SetFault(name, value);
      }
    } catch (const std::exception&) {
      status = 400;
    }
  }
  aResponder->Respond(status,
                      { { "content-type", "application/json" } },
                      json::serialize(DescribeFaults()));
}

void
Backend::SetFault(std::string_view aName, const json::value& aValue)
{
  if (aName == "turnCold" && aValue.as_bool()) {
    mCapacity.ResetToCold(Now(), mOptions.mColdGrace);
    WriteJournal("turned-cold", nullptr);
  } else if (aName == "fallOver" && aValue.as_bool() && mServer) {
    // Posted, so that the response to /fault is sent before the crash.
    asio::post(mContext, [this] {
      if (mServer) {
        Crash();
      }
    });
  } else if (aName == "drain") {
    mFaults.mDraining = aValue.as_bool();
    WriteJournal(mFaults.mDraining ? "draining" : "undrained", nullptr);
  } else if (aName == "stall") {
    mFaults.mStalled = aValue.as_bool();
    for (const auto& action : std::exchange(mStalledActions, {})) {
      RunWhenNotStalled(action);
    }
  } else if (aName == "lieHealth") {
    mFaults.mStatus = ReadOverride<std::string>(aValue);
  } else if (aName == "lieInFlight") {
    mFaults.mInFlight = ReadOverride<size_t>(aValue);
  } else if (aName == "lieWarm") {
    mFaults.mWarmth = ReadOverride<double>(aValue);
  } else if (std::find(kFaultNames.begin(), kFaultNames.end(), aName) ==
             kFaultNames.end()) {
    throw std::invalid_argument("unknown fault");
  }
}

json::object
Backend::DescribeFaults() const
{
  return { { "up", mServer != nullptr },
           { "boot", mBootId },
           { "warmth", mCapacity.Warmth(Now()) },
           { "inFlight", InFlight() },
           { "drain", mFaults.mDraining },
           { "stall", mFaults.mStalled },
           { "lieHealth", OverrideToJson(mFaults.mStatus) },
           { "lieInFlight", OverrideToJson(mFaults.mInFlight) },
           { "lieWarm", OverrideToJson(mFaults.mWarmth) } };
}

} // namespace snipepost::tools
