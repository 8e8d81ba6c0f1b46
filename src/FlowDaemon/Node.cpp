#include "src/FlowDaemon/Node.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <set>
#include <utility>

#include <unistd.h>

#include "platform/StoreCodec.h"

namespace snipepost {

namespace {

/// Limit of the changes of a part that are logged one by one; the others are
/// counted in one line, as after a snapshot of a large fleet.
constexpr size_t kMaxLoggedChanges = 16;

std::vector<cluster::NodeIp>
SeedIps(const NodeSettings& aSettings)
{
  std::vector<cluster::NodeIp> seeds;
  for (const Address& seed : aSettings.mSeeds) {
    seeds.emplace_back(seed.mIp);
  }
  return seeds;
}

/// Entry instances route by the configuration, and agents enforce evacuations.
std::set<cluster::Part>
UrgentParts(cluster::NodeRole aRole)
{
  return { aRole == cluster::NodeRole::Entry ? cluster::Part::Routes
                                             : cluster::Part::Evacuations };
}

uint64_t
RandomSeed()
{
  std::random_device source;
  return (uint64_t{ source() } << 32) | source();
}

Address
WithPort(const Address& aAddress, uint64_t aPort)
{
  return { aAddress.mIp, static_cast<uint16_t>(aPort) };
}

int64_t
WallClockMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
FormatMs(Duration aTime)
{
  const auto us =
    std::chrono::duration_cast<std::chrono::microseconds>(aTime).count();
  return std::to_string(us / 1000) + '.' + std::to_string(us % 1000 / 100);
}

boost::json::array
IpTexts(const std::vector<cluster::NodeIp>& aNodes)
{
  boost::json::array texts;
  for (const cluster::NodeIp& node : aNodes) {
    texts.emplace_back(ToString(node));
  }
  return texts;
}

} // namespace

Node::Node(asio::io_context& aContext, const NodeSettings& aSettings)
  : mContext(aContext)
  , mSettings(aSettings)
  , mLog(STDOUT_FILENO, aSettings.mLogRate, &WallClockMs)
  , mReplica(&platform::DecodeRouteConfig)
  , mGossip(cluster::NodeIp(aSettings.Identity().mIp),
            aSettings.mRole,
            SeedIps(aSettings),
            Now(),
            RandomSeed())
  , mStoreClient(aContext, aSettings.mStore)
  , mStore(mStoreClient, mMetrics.mRegistry)
  , mSync(mStore, mReplica, *this, UrgentParts(aSettings.mRole), RandomSeed())
  , mSocket(aContext, WithPort(aSettings.mPackets, aSettings.mInternalPort))
  , mPeerServer(
      aContext,
      WithPort(aSettings.mPackets, aSettings.mInternalPort),
      [this](const http1::Request& aRequest) { return Serve(aRequest); })
  , mMetricsServer(
      aContext,
      WithPort(aSettings.mPackets, aSettings.mMetricsPort),
      [this](const http1::Request& aRequest) { return Serve(aRequest); })
  , mTimer(aContext)
{
}

Instant
Node::Now() const
{
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

void
Node::Start(NodeRoleHandler& aRole)
{
  mRole = &aRole;
  mLog.Flush(Now());
  mLog.WriteAlways("start",
                   { { "name", mSettings.mName },
                     { "domain", mSettings.mDomain },
                     { "packets", ToString(mSettings.mPackets) } });
  mReplica.SetObserver(
    [this](cluster::Part aPart, const std::vector<std::string>& aChanges) {
      OnReplicaChanged(aPart, aChanges);
    });
  mSocket.Start(*this);
  Tick();
}

void
Node::ApplySettings(const NodeSettings& aSettings)
{
  mSettings.mSeeds = aSettings.mSeeds;
  mSettings.mLogRate = aSettings.mLogRate;
  mGossip.SetSeeds(SeedIps(aSettings));
  mLog.SetRate(aSettings.mLogRate);
}

void
Node::LogStopped()
{
  mLog.WriteAlways("stop", { { "state", "ended" } });
  mLog.Flush(Now());
}

void
Node::ScheduleTick()
{
  mTimer.expires_after(kTick);
  mTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
Node::Tick()
{
  const Instant now = Now();
  const bool watch = mGossip.ShouldWatch(mReplica, now);
  if (watch != mWatching) {
    mWatching = watch;
    mLog.Write("store-watch", { { "watching", watch ? "yes" : "no" } });
  }
  mReplica.ExpireRetained(now);
  mSync.Step(watch, now);
  mGossip.SetWatchHealthy(mSync.Healthy());
  Gossip();
  mRole->OnTick();
  mLog.Flush(now);
  ScheduleTick();
}

void
Node::Gossip()
{
  const Instant now = Now();
  auto targets = mGossip.RoundTargets(mReplica, now);
  if (targets.empty() && !mPushPending) {
    return;
  }
  if (mPushPending) {
    mPushPending = false;
    const auto more = mGossip.PushTargets(mReplica);
    targets.insert(targets.end(), more.begin(), more.end());
  }
  const cluster::Digest digest =
    mGossip.MakeDigest(mReplica, now, mGossip.LacksWatchers(now));
  for (const cluster::NodeIp& target : targets) {
    Send(target, digest);
  }
  mSocket.Flush();
}

void
Node::Send(cluster::NodeIp aTo, const flow::NodeMessage& aMessage)
{
  const auto bytes = flow::EncodeMessage(aMessage);
  mSocket.Send(bytes, InternalAddress(aTo));
}

Address
Node::InternalAddress(cluster::NodeIp aNode) const
{
  return { aNode.Value(), static_cast<uint16_t>(mSettings.mInternalPort) };
}

void
Node::OnDatagram(std::span<const uint8_t> aBytes, const Address& aFrom)
{
  const auto message = flow::DecodeMessage(aBytes);
  if (!message) {
    mMetrics.mMalformedMessages.Add();
    return;
  }
  const cluster::NodeIp from(aFrom.mIp);
  if (const auto* digest = std::get_if<cluster::Digest>(&*message)) {
    OnDigest(from, *digest);
  } else if (const auto* reply = std::get_if<flow::OfferReply>(&*message)) {
    mRole->OnOfferReply(from, *reply);
  } else if (const auto* notice = std::get_if<flow::OwnerNotice>(&*message)) {
    mRole->OnOwnerNotice(from, *notice);
  } else if (const auto* exclusion =
               std::get_if<flow::OwnerExclusion>(&*message)) {
    mRole->OnOwnerExclusion(from, *exclusion);
  }
}

void
Node::OnBatchEnd()
{
  mRole->OnMessagesHandled();
}

void
Node::OnDigest(cluster::NodeIp aFrom, const cluster::Digest& aDigest)
{
  const Instant now = Now();
  const auto actions = mGossip.OnDigest(aFrom, aDigest, mReplica, now);
  for (const cluster::Part part : actions.mFetch) {
    FetchPart(aFrom, part);
  }
  if (actions.mReply) {
    Send(aFrom, mGossip.MakeDigest(mReplica, now, false));
  }
}

void
Node::OnReplicaChanged(cluster::Part aPart,
                       const std::vector<std::string>& aChanges)
{
  const auto version = mReplica.Version(aPart);
  const size_t logged = std::min(aChanges.size(), kMaxLoggedChanges);
  for (size_t i = 0; i < logged; ++i) {
    mLog.Write("state-changed",
               { { "part", std::string(cluster::ToString(aPart)) },
                 { "epoch", std::to_string(version.mEpoch.Value()) },
                 { "revision", std::to_string(version.mRevision.Value()) },
                 { "change", aChanges[i] } });
  }
  if (logged < aChanges.size()) {
    mLog.Write("state-changed",
               { { "part", std::string(cluster::ToString(aPart)) },
                 { "revision", std::to_string(version.mRevision.Value()) },
                 { "more", std::to_string(aChanges.size() - logged) } });
  }
  mRole->OnReplicaChanged(aPart);
  mPushPending = true;
  // Changes of records are pushed at the next tick, together with others:
  // agents enforce what their records say, so peers need not know them at once.
  if (aPart != cluster::Part::Backends) {
    // Deferred, so that parts that change together are pushed together.
    asio::post(mContext, [this] { Gossip(); });
  }
}

void
Node::OnStoreUnreachable(cluster::Part aPart, cluster::ReadOutcome aOutcome)
{
  mLog.WriteAlways("store-lost",
                   { { "part", std::string(cluster::ToString(aPart)) },
                     { "outcome", std::string(ToString(aOutcome)) } });
}

void
Node::OnStoreReachable(cluster::Part aPart)
{
  mLog.WriteAlways("store-regained",
                   { { "part", std::string(cluster::ToString(aPart)) } });
}

void
Node::OnSnapshotRefused(cluster::Part aPart, const cluster::Snapshot& aSnapshot)
{
  const auto known = mReplica.Version(aPart);
  mLog.WriteAlways(
    "snapshot-refused",
    { { "part", std::string(cluster::ToString(aPart)) },
      { "revision", std::to_string(aSnapshot.mRevision.Value()) },
      { "epoch", std::to_string(aSnapshot.mEpoch.Value()) },
      { "known", std::to_string(known.mRevision.Value()) },
      { "known_epoch", std::to_string(known.mEpoch.Value()) } });
}

void
Node::OnDecision(const flow::Decision& aDecision)
{
  mMetrics.OnDecision(aDecision);
  if (aDecision.mVerdict == flow::Verdict::Offered) {
    return; // The outcome of the offer is logged instead.
  }
  mRefusals.OnDecision(aDecision, Now());
  const std::string_view serviceField =
    aDecision.mService.empty() ? "" : "service";
  mLog.Write(
    flow::ToString(aDecision.mVerdict),
    { { "caller", ToString(aDecision.mFlow.mCaller) },
      { "route", ToString(aDecision.mFlow.mService) },
      { "peer", ToString(cluster::NodeIp(aDecision.mPeer.mIp)) },
      { "offers", std::to_string(aDecision.mOfferedAgents) },
      { "refusal", std::string(flow::ToString(aDecision.mRefusal)) },
      { "load", std::to_string(static_cast<int>(aDecision.mLoad)) },
      { "load_age_ms", FormatMs(aDecision.mLoadAge) },
      { "elapsed_ms", FormatMs(aDecision.mElapsed) },
      { "config", std::to_string(mReplica.Routes()->mVersion.Value()) },
      { "reason", std::string(aDecision.mReason) },
      { serviceField, std::string(aDecision.mService) } });
}

void
Node::UpdateGauges()
{
  mMetrics.mStoreReachable.Set(mSync.Reachable() ? 1.0 : 0.0);
  mMetrics.mStoreEpoch.Set(static_cast<double>(mReplica.LatestEpoch().Value()));
  mMetrics.mConfigVersion.Set(
    static_cast<double>(mReplica.Routes()->mVersion.Value()));
  mMetrics.mEvacuations.Set(
    static_cast<double>(mReplica.EvacuatedDomains().size()));
  mMetrics.mBackends.Set(static_cast<double>(mReplica.Backends().size()));
  mMetrics.mLogLinesDropped.Set(static_cast<double>(mLog.Dropped()));
}

std::string
Node::StatusText()
{
  boost::json::array agents;
  for (const auto& [name, record] : mReplica.Backends()) {
    agents.emplace_back(ToString(cluster::NodeIp(record.mAgent.mIp)));
  }
  boost::json::object status = {
    { "name", mSettings.mName },
    { "role", mSettings.mRole == cluster::NodeRole::Entry ? "entry" : "agent" },
    { "domain", mSettings.mDomain },
    { "config", mReplica.Routes()->mVersion.Value() },
    { "backends", mReplica.Backends().size() },
    { "watching", mWatching },
    { "storeReachable", mSync.Reachable() },
    { "evacuated", boost::json::value_from(mReplica.EvacuatedDomains()) },
    { "entries", IpTexts(mGossip.Entries()) },
    { "agents", std::move(agents) },
  };
  mRole->AddStatus(status);
  return boost::json::serialize(status);
}

} // namespace snipepost
