#include <src/Daemon/ControlPlane.h>

#include <random>

#include <snipepost/Document/Codec.h>
#include <snipepost/Document/Order.h>
#include <snipepost/Membership/Codec.h>
#include <snipepost/Settings/Log.h>

namespace snipepost {

using namespace std::chrono_literals;

namespace {

constexpr Duration kTick = 50ms;
constexpr Duration kPeerTimeout = 2s;
constexpr Duration kWatchWait = 25s;
constexpr Duration kPeerIdleTimeout = 30s;
/// Time for which a failure domain that was taken out is still probed. Its
/// agents learn the new document generation from the probes and notify their
/// callers at once; without these probes, callers are notified after 2.3 s. The
/// time is well below the 5 s after which no packet may arrive in the domain.
constexpr Duration kOutDomainProbeTime = 1500ms;

/// Accepts only valid documents of the given deployment.
DocumentValidator
ValidatorFor(const std::string& aDeployment)
{
  return
    [aDeployment](const std::string& aText) -> std::optional<DocumentVersion> {
      const auto parsed = ParseDocument(aText, UnknownFields::Ignore);
      if (!parsed.mValue || parsed.mValue->mDeployment != aDeployment) {
        return std::nullopt;
      }
      return DocumentVersion{ parsed.mValue->mGeneration,
                              parsed.mValue->mSubmission };
    };
}

MembershipOptions
OptionsOf(const DaemonSettings& aSettings)
{
  MembershipOptions options;
  options.mDeployment = aSettings.mDeployment;
  options.mSeeds = aSettings.mPeers;
  options.mLease = aSettings.mLease;
  options.mProbeInterval = aSettings.mProbeInterval;
  options.mExchangeInterval = aSettings.mExchangeInterval;
  return options;
}

/// The record of this process. The incarnation is the wall-clock time in
/// milliseconds, so that it grows with each restart.
InstanceRecord
OwnRecord(const DaemonSettings& aSettings)
{
  InstanceRecord own;
  own.mRole = aSettings.mRole;
  own.mAddress = aSettings.mListen;
  own.mDomain = DomainId(static_cast<uint8_t>(aSettings.mDomain));
  own.mRegion = static_cast<uint8_t>(aSettings.mRegion);
  own.mService = ServiceId(static_cast<uint16_t>(aSettings.mService));
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  own.mVersion.mIncarnation = Incarnation(static_cast<uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count()));
  return own;
}

http2::Request
PeerRequest(const char* aMethod, const char* aPath, std::string aBody = {})
{
  http2::Request request;
  request.mMethod = aMethod;
  request.mPath = aPath;
  request.mBody = std::move(aBody);
  request.mTimeout = kPeerTimeout;
  return request;
}

bool
Succeeded(http2::Result aResult, const http2::Response& aResponse)
{
  return aResult == http2::Result::Answered && aResponse.mStatus == 200 &&
         !aResponse.mTruncated;
}

} // namespace

Instant
MonotonicNow()
{
  return Instant(std::chrono::steady_clock::now().time_since_epoch());
}

WallTime
WallNow()
{
  return std::chrono::floor<std::chrono::seconds>(
    std::chrono::system_clock::now());
}

ControlPlane::ControlPlane(asio::io_context& aContext,
                           const DaemonSettings& aSettings,
                           const KeyRing& aKeys,
                           ControlOwner& aOwner)
  : mContext(aContext)
  , mOwner(aOwner)
  , mCore(OptionsOf(aSettings),
          OwnRecord(aSettings),
          ValidatorFor(aSettings.mDeployment),
          std::random_device{}())
  , mPeers(aContext, aKeys)
  , mStore(aContext, aSettings.mStore)
  , mTimer(aContext)
{
}

void
ControlPlane::Start()
{
  OnTick();
}

void
ControlPlane::OnTick()
{
  const Instant now = MonotonicNow();
  HandleEvent(ClockTick{});
  if (mNextConfigChange && WallNow() >= *mNextConfigChange) {
    ApplyConfig();
  }
  ExcludeOutDomains(now);
  mPeers.CloseIdle(now - kPeerIdleTimeout);
  LogStoreState();
  mOwner.OnControlTick(now);
  mTimer.expires_after(kTick);
  mTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      OnTick();
    }
  });
}

void
ControlPlane::HandleEvent(const MembershipEvent& aEvent)
{
  for (const auto& effect : mCore.Handle(aEvent, MonotonicNow())) {
    std::visit([this](const auto& aEffect) { Perform(aEffect); }, effect);
  }
}

ExchangeMessage
ControlPlane::ReplyToExchange(const ExchangeMessage& aMessage)
{
  return mCore.ReplyToExchange(aMessage, MonotonicNow());
}

void
ControlPlane::Perform(const SendProbe& aEffect)
{
  mOwner.SendProbePacket(aEffect.mTarget);
}

void
ControlPlane::Perform(const SendExchange& aEffect)
{
  const Address peer = aEffect.mTo;
  mPeers.Call(
    peer,
    PeerRequest("POST", "/v1/exchange", WriteExchange(aEffect.mMessage)),
    kMaxExchangeBytes,
    MonotonicNow(),
    [this, peer](http2::Result aResult, const http2::Response& aResponse) {
      ExchangeEnded ended{ peer, std::nullopt };
      if (Succeeded(aResult, aResponse)) {
        ended.mReply = ParseExchange(aResponse.mBody);
      }
      HandleEvent(ended);
    });
}

void
ControlPlane::Perform(const PullDocument& aEffect)
{
  const Address peer = aEffect.mFrom;
  mPeers.Call(
    peer,
    PeerRequest("GET", "/v1/document"),
    kMaxDocumentBytes,
    MonotonicNow(),
    [this, peer](http2::Result aResult, const http2::Response& aResponse) {
      DocumentPullEnded ended{ peer, std::nullopt };
      if (Succeeded(aResult, aResponse)) {
        ended.mText = aResponse.mBody;
      }
      HandleEvent(ended);
    });
}

void
ControlPlane::Perform(const StoreRead& aEffect)
{
  mStore.Get(aEffect.mKey, [this, key = aEffect.mKey](GetResult aResult) {
    StoreReadEnded ended{ key, aResult.mOutcome, {} };
    if (aResult.mObject) {
      ended.mObject = std::move(*aResult.mObject);
    }
    HandleEvent(ended);
  });
}

void
ControlPlane::Perform(const StoreWrite& aEffect)
{
  const auto condition = aEffect.mCondition
                           ? WriteCondition::IfVersion(*aEffect.mCondition)
                           : WriteCondition::IfAbsent();
  const auto lease = aEffect.mLease > Duration::zero()
                       ? std::optional(aEffect.mLease)
                       : std::nullopt;
  mStore.Put(
    aEffect.mKey,
    aEffect.mValue,
    condition,
    [this, key = aEffect.mKey](const WriteResult& aResult) {
      HandleEvent(StoreWriteEnded{ key, aResult.mOutcome, aResult.mVersion });
    },
    lease);
}

void
ControlPlane::Perform(const StoreList& aEffect)
{
  mStore.List(aEffect.mPrefix,
              [this, prefix = aEffect.mPrefix](ListResult aResult) {
                StoreListEnded ended{
                  prefix, aResult.mOutcome, true, aResult.mRevision, {}
                };
                for (StoredObject& object : aResult.mObjects) {
                  ended.mObjects.push_back(std::move(object));
                }
                HandleEvent(ended);
              });
}

void
ControlPlane::Perform(const StoreWatch& aEffect)
{
  mStore.Watch(aEffect.mPrefix,
               aEffect.mSince,
               kWatchWait,
               [this, prefix = aEffect.mPrefix](WatchResult aResult) {
                 StoreListEnded ended{
                   prefix, aResult.mOutcome, false, aResult.mRevision, {}
                 };
                 for (ObjectEvent& event : aResult.mEvents) {
                   // Deletions are ignored: an instance that has stopped is
                   // also detected by its expired lease or by lost probes.
                   if (event.mValue) {
                     ended.mObjects.push_back({ std::move(event.mKey),
                                                event.mVersion,
                                                std::move(*event.mValue) });
                   }
                 }
                 HandleEvent(ended);
               });
}

void
ControlPlane::Perform(const DocumentAdopted&)
{
  mDocument =
    ParseDocument(Board().mDocument.mText, UnknownFields::Ignore).mValue;
  LogLine(LogChannel::Document,
          LogLevel::Info,
          "document adopted",
          { { "generation", std::to_string(CurrentGeneration().Value()) } });
  ApplyConfig();
}

void
ControlPlane::ApplyConfig()
{
  if (!mDocument) {
    return;
  }
  mConfig = EffectiveAt(*mDocument, WallNow());
  mNextConfigChange = NextChangeAfter(*mDocument, WallNow());
  std::map<DomainId, Instant> out;
  for (const auto& [id, domain] : mConfig->mDomains) {
    if (domain.mState == DomainState::Out) {
      const auto known = mOutSince.find(id);
      out[id] = known == mOutSince.end() ? MonotonicNow() : known->second;
    }
  }
  mOutSince = std::move(out);
  ExcludeOutDomains(MonotonicNow());
  mOwner.OnViewChanged();
}

void
ControlPlane::ExcludeOutDomains(Instant aNow)
{
  std::set<DomainId> excluded;
  for (const auto& [id, since] : mOutSince) {
    if (aNow >= since + kOutDomainProbeTime) {
      excluded.insert(id);
    }
  }
  mCore.SetDomainsOut(std::move(excluded));
}

void
ControlPlane::Perform(const ViewChanged&)
{
  LogSuspects();
  mOwner.OnViewChanged();
}

void
ControlPlane::LogSuspects()
{
  const auto& suspects = Board().mSuspects;
  for (const Address& address : suspects) {
    if (!mLoggedSuspects.contains(address)) {
      LogLine(LogChannel::Membership,
              LogLevel::Warning,
              "instance not reachable",
              { { "address", ToString(address) } });
    }
  }
  for (const Address& address : mLoggedSuspects) {
    if (!suspects.contains(address)) {
      LogLine(LogChannel::Membership,
              LogLevel::Info,
              "instance reachable again or removed",
              { { "address", ToString(address) } });
    }
  }
  mLoggedSuspects = suspects;
}

void
ControlPlane::LogStoreState()
{
  const bool reachable = Board().mStore.mReachable;
  if (reachable == mStoreReachable) {
    return;
  }
  mStoreReachable = reachable;
  LogLine(LogChannel::Store,
          reachable ? LogLevel::Info : LogLevel::Warning,
          reachable ? "store reachable" : "store not reachable");
}

} // namespace snipepost
