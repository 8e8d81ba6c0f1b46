#include <src/Daemon/BackendMonitor.h>

#include <boost/json.hpp>

namespace snipepost {

using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

constexpr Duration kReadInterval = 200ms;
constexpr Duration kReadTimeout = 1s;
constexpr size_t kMaxReportBytes = 4096;

json::object
ParseReport(const http2::Response& aResponse)
{
  boost::system::error_code error;
  const json::value value = json::parse(aResponse.mBody, error);
  if (error || !value.is_object()) {
    return {};
  }
  return value.get_object();
}

std::string
TextAt(const json::object& aReport, const char* aName)
{
  const json::value* value = aReport.if_contains(aName);
  return value && value->is_string() ? std::string(value->get_string())
                                     : std::string();
}

std::optional<double>
NumberAt(const json::object& aReport, const char* aName)
{
  const json::value* value = aReport.if_contains(aName);
  if (!value || !value->is_number()) {
    return std::nullopt;
  }
  return value->to_number<double>();
}

std::optional<BackendHealth>
ParseHealth(const std::string& aStatus)
{
  if (aStatus == "ok") {
    return BackendHealth::Ok;
  }
  if (aStatus == "starting") {
    return BackendHealth::Starting;
  }
  if (aStatus == "draining") {
    return BackendHealth::Draining;
  }
  return std::nullopt;
}

http2::Request
MakeGetRequest(const char* aPath)
{
  http2::Request request;
  request.mPath = aPath;
  request.mTimeout = kReadTimeout;
  return request;
}

} // namespace

BackendMonitor::BackendMonitor(asio::io_context& aContext,
                               const Address& aBackend,
                               StateCallback aOnState)
  : mClient(aContext, aBackend)
  , mTimer(aContext)
  , mOnState(std::move(aOnState))
{
}

void
BackendMonitor::ReadHealth()
{
  mClient.Collect(
    MakeGetRequest("/health"),
    kMaxReportBytes,
    [this](http2::Result aResult, const http2::Response& aResponse) {
      BackendState state;
      state.mReachable =
        aResult == http2::Result::Answered && aResponse.mStatus == 200;
      if (!state.mReachable) {
        ReportState(state);
        return;
      }
      const auto report = ParseReport(aResponse);
      state.mHealth = ParseHealth(TextAt(report, "status"));
      state.mBoot = TextAt(report, "boot");
      ReadLoad(std::move(state));
    });
}

void
BackendMonitor::ReadLoad(BackendState aState)
{
  mClient.Collect(
    MakeGetRequest("/load"),
    kMaxReportBytes,
    [this, state = std::move(aState)](
      http2::Result aResult, const http2::Response& aResponse) mutable {
      if (aResult == http2::Result::Answered && aResponse.mStatus == 200) {
        const auto report = ParseReport(aResponse);
        state.mWarmth = NumberAt(report, "warm");
        const auto slots = NumberAt(report, "slots");
        if (slots && *slots >= 1 && *slots <= 65535) {
          state.mSlots = static_cast<uint32_t>(*slots);
        }
      }
      ReportState(state);
    });
}

void
BackendMonitor::ReportState(const BackendState& aState)
{
  mOnState(aState);
  mTimer.expires_after(kReadInterval);
  mTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      ReadHealth();
    }
  });
}

} // namespace snipepost
