#include <src/Daemon/EntryRelay.h>

#include <algorithm>

#include <snipepost/Routing/ProxyHeader.h>

namespace snipepost {

EntryRelay::Counters::Counters(Registry& aRegistry)
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
  , mUnknownReplies(
      aRegistry.AddCounter("snipepost_unknown_reply_packets_total",
                           "Replies of services that the document does not "
                           "name."))
{
}

EntryRelay::EntryRelay(const KeyRing& aKeys,
                       DatagramSocket& aSocket,
                       Registry& aRegistry,
                       const Address& aFabricAddress)
  : mKeys(aKeys)
  , mRouter(aKeys)
  , mSocket(aSocket)
  , mFabricAddress(aFabricAddress)
  , mCounters(aRegistry)
{
}

void
EntryRelay::SetSnapshot(std::shared_ptr<const RoutingSnapshot> aSnapshot,
                        ServiceAddresses aAddresses)
{
  mSnapshot = std::move(aSnapshot);
  mServiceAddresses = std::move(aAddresses);
}

void
EntryRelay::RelayFromFabric(std::span<const uint8_t> aBytes,
                            Generation aGeneration)
{
  const auto datagram = DecodeProxied(aBytes);
  if (!datagram || !mSnapshot) {
    // Without a snapshot, a valid datagram is dropped but not counted as bad.
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
  header.mGeneration = aGeneration;
  header.mCaller = caller;
  header.mCandidates = decision.mCandidates;
  header.mLoad.mFromCurrentTable = decision.mFromCurrentTable;
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
EntryRelay::RelayToFabric(const Packet& aPacket)
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
  mSocket.Commit(length, mFabricAddress);
  mCounters.mReplied.Add();
}

} // namespace snipepost
