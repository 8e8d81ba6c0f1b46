#include <src/Daemon/EntryInstance.h>

#include <src/Daemon/MembershipMetrics.h>

#include <snipepost/View/SnapshotBuilder.h>

namespace snipepost {

namespace {

/// True when the datagram starts with the magic number of a PacketHeader; the
/// fabric's datagrams start with a PROXY header.
bool
IsPeerPacket(std::span<const uint8_t> aBytes)
{
  return aBytes.size() > 2 && aBytes[0] == 'S' && aBytes[1] == 'P';
}

const char*
DropReasonName(DropReason aReason)
{
  constexpr std::array<const char*, kDropReasonCount> kNames{
    "none",          "unknown_service", "malformed", "forged_id",
    "wrong_service", "domain_out",      "no_backend"
  };
  return kNames[static_cast<size_t>(aReason)];
}

} // namespace

EntryInstance::EntryInstance(asio::io_context& aContext,
                             const DaemonSettings& aSettings,
                             std::function<void()> aOnExit)
  : mKeys(aSettings.Keys())
  , mFabric(aSettings.mFabric.begin(), aSettings.mFabric.end())
  , mLeaveTime(aSettings.mLeaveTime)
  , mOnExit(std::move(aOnExit))
  , mForeignPackets(
      mRegistry.AddCounter("snipepost_foreign_packets_total",
                           "Datagrams of senders that are no fabric."))
  , mSocket(aContext, aSettings.mListen)
  , mRelay(mKeys, mSocket, mRegistry, aSettings.mFabric.front())
  , mControl(aContext, aSettings, mKeys, *this)
  , mServer(aContext, aSettings.mListen, mKeys, mControl, mRegistry)
  , mLeaveTimer(aContext)
  , mSnapshotsBuilt(mRegistry.AddCounter("snipepost_snapshots_total",
                                         "Routing snapshots built."))
{
  mServer.SetStatusProvider([this] { return Status(); });
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
    mForeignPackets.Add();
    return;
  }
  mRelay.RelayFromFabric(aBytes, mControl.CurrentGeneration());
}

void
EntryInstance::HandlePeerPacket(std::span<const uint8_t> aBytes,
                                const Address& aFrom)
{
  const auto decoded = DecodePacket(aBytes, mKeys);
  const auto* packet = std::get_if<Packet>(&decoded);
  if (!packet) {
    mRelay.CountBadPacket();
    return;
  }
  const PacketHeader& header = packet->mHeader;
  if (header.mGeneration > mControl.CurrentGeneration()) {
    mControl.HandleEvent(GenerationSeen{ aFrom, header.mGeneration });
  }
  switch (header.mType) {
    case PacketType::Reply:
      mRelay.RelayToFabric(*packet);
      return;
    case PacketType::Probe:
      SendEmptyPacket(PacketType::ProbeReply, aFrom);
      return;
    case PacketType::ProbeReply:
      mControl.HandleEvent(ProbeReplyReceived{ aFrom });
      return;
    default:
      mRelay.CountBadPacket();
  }
}

void
EntryInstance::SendEmptyPacket(PacketType aType, const Address& aTo)
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
  SendEmptyPacket(PacketType::Probe, aTarget);
}

void
EntryInstance::OnViewChanged()
{
  const auto& config = mControl.Config();
  if (!config) {
    return;
  }
  EntryRelay::ServiceAddresses addresses;
  for (const auto& [id, service] : config->mServices) {
    addresses.emplace(id, service.mAddress);
  }
  mRelay.SetSnapshot(
    BuildSnapshot(*config, mControl.Board(), mRelay.Snapshot()),
    std::move(addresses));
  mSnapshotsBuilt.Add();
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
    drops[DropReasonName(reason)] = mRelay.Router().Count(reason);
  }
  const RoutingSnapshot* snapshot = mRelay.Snapshot();
  return { { "drops", std::move(drops) },
           { "services", snapshot ? snapshot->ServiceCount() : 0 },
           { "routingBytes", snapshot ? snapshot->MemoryBytes() : 0 } };
}

} // namespace snipepost
