#include <src/Daemon/EntryInstance.h>

#include <src/Daemon/MembershipMetrics.h>

#include <snipepost/Routing/ProxyHeader.h>
#include <snipepost/View/SnapshotBuilder.h>

namespace snipepost {

namespace {

bool
IsPeerPacket(std::span<const uint8_t> aBytes)
{
  return aBytes.size() > 2 && aBytes[0] == 'S' && aBytes[1] == 'P';
}

const char*
DropName(DropReason aReason)
{
  constexpr std::array<const char*, kDropReasonCount> kNames{
    "none",          "unknown_service", "malformed", "forged_id",
    "wrong_service", "domain_out",      "no_backend"
  };
  return kNames[static_cast<size_t>(aReason)];
}

} // namespace

EntryInstance::Counters::Counters(Registry& aRegistry)
  : mForwarded(aRegistry.AddCounter("snipepost_forwarded_packets_total",
                                    "Datagrams forwarded to agents."))
  , mForwardedById(
      aRegistry.AddCounter("snipepost_forwarded_by_id_packets_total",
                           "Datagrams whose connection ID named the agent."))
  , mReplied(aRegistry.AddCounter("snipepost_reply_packets_total",
                                  "Datagrams relayed back to callers."))
  , mBadPackets(
      aRegistry.AddCounter("snipepost_bad_packets_total",
                           "Datagrams that were malformed or had a wrong "
                           "tag."))
  , mForeignSenders(
      aRegistry.AddCounter("snipepost_foreign_packets_total",
                           "Datagrams of senders that are no fabric."))
  , mUnknownReplies(
      aRegistry.AddCounter("snipepost_unknown_reply_packets_total",
                           "Replies of services that the document does not "
                           "name."))
{
}

EntryInstance::EntryInstance(asio::io_context& aContext,
                             const DaemonSettings& aSettings,
                             std::function<void()> aOnExit)
  : mKeys(aSettings.Keys())
  , mFabric(aSettings.mFabric.begin(), aSettings.mFabric.end())
  , mReturn(aSettings.mFabric.front())
  , mLeaveTime(aSettings.mLeaveTime)
  , mOnExit(std::move(aOnExit))
  , mCounters(mRegistry)
  , mRouter(mKeys)
  , mSocket(aContext, aSettings.mListen)
  , mControl(aContext, aSettings, mKeys, *this)
  , mServer(aContext, aSettings.mListen, mKeys, mControl, mRegistry)
  , mLeaveTimer(aContext)
  , mSnapshots(mRegistry.AddCounter("snipepost_snapshots_total",
                                    "Routing snapshots built."))
{
  mServer.SetStatus([this] { return Status(); });
  mControl.SetState(InstanceState::Ready);
  mSocket.Start(*this);
  mControl.Start();
}

void
EntryInstance::BeginShutdown()
{
  LogLine(LogChannel::Daemon, LogLevel::Info, "leaving");
  mControl.SetState(InstanceState::Left);
  mServer.SetReady(false);
  mLeaveTimer.expires_after(mLeaveTime);
  mLeaveTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      mOnExit();
    }
  });
}

void
EntryInstance::OnDatagram(std::span<const uint8_t> aBytes, const Address& aFrom)
{
  if (IsPeerPacket(aBytes)) {
    HandlePeerPacket(aBytes, aFrom);
    return;
  }
  if (!mFabric.contains(aFrom)) {
    mCounters.mForeignSenders.Add();
    return;
  }
  RelayFromFabric(aBytes);
}

void
EntryInstance::RelayFromFabric(std::span<const uint8_t> aBytes)
{
  const auto datagram = DecodeProxied(aBytes);
  if (!datagram || !mSnapshot) {
    mCounters.mBadPackets.Add(datagram ? 0 : 1);
    return;
  }
  const Address& caller = datagram->mHeader.mSource;
  const RouteDecision decision = mRouter.Route(
    *mSnapshot, datagram->mHeader.mDestination, caller, datagram->mPayload);
  if (!decision.IsForward()) {
    return;
  }
  PacketHeader header;
  header.mType = PacketType::Forward;
  header.mService = decision.mService;
  header.mGeneration = mControl.CurrentGeneration();
  header.mCaller = caller;
  header.mCandidates = decision.mCandidates;
  const size_t length =
    EncodePacket(header, datagram->mPayload, mSocket.Reserve(), mKeys);
  if (length == 0) {
    mCounters.mBadPackets.Add();
    return;
  }
  mSocket.Commit(length, decision.mCandidates[0]);
  mCounters.mForwarded.Add();
  mCounters.mForwardedById.Add(decision.mByIssuedId ? 1 : 0);
}

void
EntryInstance::HandlePeerPacket(std::span<const uint8_t> aBytes,
                                const Address& aFrom)
{
  const auto decoded = DecodePacket(aBytes, mKeys);
  const auto* packet = std::get_if<Packet>(&decoded);
  if (!packet) {
    mCounters.mBadPackets.Add();
    return;
  }
  const PacketHeader& header = packet->mHeader;
  if (header.mGeneration > mControl.CurrentGeneration()) {
    mControl.Feed(GenerationSeen{ aFrom, header.mGeneration });
  }
  switch (header.mType) {
    case PacketType::Reply:
      RelayToFabric(*packet);
      return;
    case PacketType::Probe:
      SendHeader(PacketType::ProbeReply, aFrom);
      return;
    case PacketType::ProbeReply:
      mControl.Feed(ProbeAnswered{ aFrom });
      return;
    default:
      mCounters.mBadPackets.Add();
  }
}

void
EntryInstance::RelayToFabric(const Packet& aPacket)
{
  const auto service = mServiceAddresses.find(aPacket.mHeader.mService);
  if (service == mServiceAddresses.end()) {
    mCounters.mUnknownReplies.Add();
    return;
  }
  const auto proxy =
    EncodeProxyHeader({ service->second, aPacket.mHeader.mCaller });
  auto buffer = mSocket.Reserve();
  const size_t length = proxy.size() + aPacket.mPayload.size();
  if (length > buffer.size()) {
    mCounters.mBadPackets.Add();
    return;
  }
  std::copy(proxy.begin(), proxy.end(), buffer.begin());
  std::copy(aPacket.mPayload.begin(),
            aPacket.mPayload.end(),
            buffer.begin() + proxy.size());
  mSocket.Commit(length, mReturn);
  mCounters.mReplied.Add();
}

void
EntryInstance::SendHeader(PacketType aType, const Address& aTo)
{
  PacketHeader header;
  header.mType = aType;
  header.mGeneration = mControl.CurrentGeneration();
  const size_t length = EncodePacket(header, {}, mSocket.Reserve(), mKeys);
  mSocket.Commit(length, aTo);
}

void
EntryInstance::SendProbePacket(const Address& aTarget)
{
  SendHeader(PacketType::Probe, aTarget);
}

void
EntryInstance::OnViewChanged()
{
  const auto& config = mControl.Config();
  if (!config) {
    return;
  }
  mSnapshot = BuildSnapshot(*config, mControl.Board(), mSnapshot.get());
  mSnapshots.Add();
  mServiceAddresses.clear();
  for (const auto& [id, service] : config->mServices) {
    mServiceAddresses.emplace(id, service.mAddress);
  }
}

void
EntryInstance::OnControlTick(Instant)
{
  mSocket.Flush();
}

boost::json::object
EntryInstance::Status() const
{
  boost::json::object drops;
  for (size_t i = 1; i < kDropReasonCount; ++i) {
    const auto reason = static_cast<DropReason>(i);
    drops[DropName(reason)] = mRouter.Count(reason);
  }
  return { { "drops", std::move(drops) },
           { "services", mSnapshot ? mSnapshot->ServiceCount() : 0 },
           { "routingBytes", mSnapshot ? mSnapshot->MemoryBytes() : 0 } };
}

} // namespace snipepost
