#include <tools/fabric/Fabric.h>

#include <algorithm>

#include <boost/json.hpp>

#include <snipepost/Routing/ProxyHeader.h>

namespace snipepost::tools {

using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

constexpr Duration kCheckInterval = 100ms;
constexpr Duration kCheckTimeout = 300ms;
/// Consecutive failed checks after which an entry instance gets no datagrams.
constexpr unsigned kFailuresUntilDown = 2;

Instant
Now()
{
  return Instant(std::chrono::steady_clock::now().time_since_epoch());
}

void
ReadProbability(const json::object& aFault, const char* aName, double& aOut)
{
  const json::value* value = aFault.if_contains(aName);
  if (value && value->is_number()) {
    aOut = std::clamp(value->to_number<double>(), 0.0, 1.0);
  }
}

void
ReadMs(const json::object& aFault, const char* aName, Duration& aOut)
{
  const json::value* value = aFault.if_contains(aName);
  if (value && value->is_number()) {
    aOut = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(value->to_number<double>()));
  }
}

void
ReadAddresses(const json::object& aFault,
              const char* aName,
              std::set<Address>& aOut)
{
  const json::value* value = aFault.if_contains(aName);
  if (!value || !value->is_array()) {
    return;
  }
  aOut.clear();
  for (const json::value& item : value->get_array()) {
    const auto address =
      item.is_string() ? ParseAddress(item.get_string()) : std::nullopt;
    if (address) {
      aOut.insert(*address);
    }
  }
}

} // namespace

/// The socket of one service address.
class Fabric::ServiceSocket : private DatagramHandler
{
public:
  ServiceSocket(Fabric& aFabric, const Address& aAddress)
    : mFabric(aFabric)
    , mAddress(aAddress)
    , mSocket(aFabric.mContext, aAddress)
  {
    mSocket.Start(*this);
  }

  DatagramSocket& Socket() { return mSocket; }

private:
  void OnDatagram(std::span<const uint8_t> aBytes,
                  const Address& aFrom) override
  {
    mFabric.OnCallerDatagram(mAddress, aBytes, aFrom);
  }
  void OnBatchEnd() override { mFabric.mSocket.Flush(); }

  Fabric& mFabric;
  Address mAddress;
  DatagramSocket mSocket;
};

Fabric::Fabric(asio::io_context& aContext, const FabricSettings& aSettings)
  : mContext(aContext)
  , mRandom(aSettings.mSeed)
  , mImpairment(aSettings.mImpairment)
  , mSocket(aContext, aSettings.mListen)
  , mTimer(aContext)
  , mCheckTimer(aContext)
{
  for (const Address& service : aSettings.mServices) {
    mServices[service] = std::make_unique<ServiceSocket>(*this, service);
  }
  for (const Address& address : aSettings.mEntries) {
    mEntries.push_back(
      { address, std::make_unique<http2::Client>(aContext, address) });
  }
  mControl = std::make_unique<http2::Server>(
    aContext,
    aSettings.mControl,
    [this](const http2::ServerRequest& aRequest,
           const std::shared_ptr<http2::Responder>& aResponder) {
      OnControl(aRequest, *aResponder);
    });
  mSocket.Start(*this);
  CheckEntries();
}

Fabric::~Fabric() = default;

void
Fabric::OnCallerDatagram(const Address& aService,
                         std::span<const uint8_t> aBytes,
                         const Address& aCaller)
{
  const Entry* entry = ChooseEntry();
  if (!entry || mCut.contains(entry->mAddress) ||
      mCutToward.contains(entry->mAddress)) {
    return;
  }
  const auto header = EncodeProxyHeader({ aCaller, aService });
  std::vector<uint8_t> bytes(header.begin(), header.end());
  bytes.insert(bytes.end(), aBytes.begin(), aBytes.end());
  Transmit(mSocket, entry->mAddress, std::move(bytes));
}

const Fabric::Entry*
Fabric::ChooseEntry()
{
  const auto live = static_cast<size_t>(std::ranges::count_if(
    mEntries, [](const Entry& aEntry) { return aEntry.mLive; }));
  if (live == 0) {
    return nullptr;
  }
  size_t index = mRandom.Below(live);
  for (const Entry& entry : mEntries) {
    if (entry.mLive && index-- == 0) {
      return &entry;
    }
  }
  return nullptr;
}

void
Fabric::OnDatagram(std::span<const uint8_t> aBytes, const Address& aFrom)
{
  const auto datagram = DecodeProxied(aBytes);
  if (!datagram || mCut.contains(aFrom) || mCutFrom.contains(aFrom)) {
    return;
  }
  const auto service = mServices.find(datagram->mHeader.mSource);
  if (service == mServices.end()) {
    return;
  }
  Transmit(service->second->Socket(),
           datagram->mHeader.mDestination,
           { datagram->mPayload.begin(), datagram->mPayload.end() });
}

void
Fabric::Transmit(DatagramSocket& aSocket,
                 const Address& aTo,
                 std::vector<uint8_t> aBytes)
{
  mImpairment.Apply(mRandom, [&](Duration aDelay) {
    if (aDelay == Duration::zero()) {
      aSocket.Send(aBytes, aTo);
      aSocket.Flush();
      return;
    }
    mDelayed.emplace(Now() + aDelay, DelayedDatagram{ &aSocket, aTo, aBytes });
    ArmTimer();
  });
}

void
Fabric::ArmTimer()
{
  if (mDelayed.empty()) {
    return;
  }
  mTimer.expires_after(
    std::max<Duration>(mDelayed.begin()->first - Now(), 50us));
  mTimer.async_wait([this](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    const Instant now = Now();
    while (!mDelayed.empty() && mDelayed.begin()->first <= now) {
      const DelayedDatagram& next = mDelayed.begin()->second;
      next.mSocket->Send(next.mBytes, next.mTo);
      next.mSocket->Flush();
      mDelayed.erase(mDelayed.begin());
    }
    ArmTimer();
  });
}

void
Fabric::CheckEntries()
{
  for (Entry& entry : mEntries) {
    CheckEntry(entry);
  }
  mCheckTimer.expires_after(kCheckInterval);
  mCheckTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      CheckEntries();
    }
  });
}

void
Fabric::CheckEntry(Entry& aEntry)
{
  http2::Request request;
  request.mPath = "/v1/ready";
  request.mTimeout = kCheckTimeout;
  constexpr size_t kMaxResponseBody = 64;
  aEntry.mClient->Collect(
    std::move(request),
    kMaxResponseBody,
    [&aEntry](http2::Result aResult, const http2::Response& aResponse) {
      if (aResult == http2::Result::Answered && aResponse.mStatus == 200) {
        aEntry.mFailures = 0;
        aEntry.mLive = true;
        return;
      }
      // 503 means that the instance is shutting down, so one failure suffices.
      const bool leaving =
        aResult == http2::Result::Answered && aResponse.mStatus == 503;
      aEntry.mFailures = leaving ? kFailuresUntilDown : aEntry.mFailures + 1;
      if (aEntry.mFailures >= kFailuresUntilDown) {
        aEntry.mLive = false;
      }
    });
}

void
Fabric::OnControl(const http2::ServerRequest& aRequest,
                  http2::Responder& aResponder)
{
  if (aRequest.mMethod == "POST" && aRequest.mPath == "/fault") {
    const bool valid = ApplyFault(aRequest.mBody);
    aResponder.Respond(valid ? 200 : 400, {}, valid ? "ok\n" : "bad JSON\n");
    return;
  }
  const auto live = std::ranges::count_if(
    mEntries, [](const Entry& aEntry) { return aEntry.mLive; });
  aResponder.Respond(
    200, {}, json::serialize(json::object{ { "liveEntries", live } }));
}

bool
Fabric::ApplyFault(const std::string& aBody)
{
  boost::system::error_code error;
  const json::value value = json::parse(aBody, error);
  if (error || !value.is_object()) {
    return false;
  }
  const json::object& fault = value.get_object();
  ReadProbability(fault, "loss", mImpairment.mLoss);
  ReadProbability(fault, "duplicate", mImpairment.mDuplicate);
  ReadProbability(fault, "reorder", mImpairment.mReorder);
  ReadMs(fault, "delayMs", mImpairment.mDelay);
  ReadMs(fault, "jitterMs", mImpairment.mJitter);
  ReadAddresses(fault, "cut", mCut);
  ReadAddresses(fault, "cutToward", mCutToward);
  ReadAddresses(fault, "cutFrom", mCutFrom);
  return true;
}

} // namespace snipepost::tools
