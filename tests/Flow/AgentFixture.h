#pragma once

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

#include <snipepost/Flow/FlowAgentCore.h>

#include "tests/Flow/Samples.h"

namespace snipepost::flow {

constexpr cluster::NodeIp kEntry(0x0a0000f1);

/// The more urgent of the two routes to the service desk.
constexpr Address kUrgentService{ 0xc6120002, 443 };

constexpr std::string_view kEqualVersion = "4";
constexpr std::string_view kPatientVersion = "6";

/// The sample configuration with an urgent route whose requests are not
/// idempotent. Both routes have the same priority in kEqualVersion, and a
/// timeout of a minute in kPatientVersion.
inline std::optional<cluster::RouteConfig>
DecodePriorities(std::string_view aText)
{
  auto config = DecodeSampleConfig(aText);
  cluster::Route& route = config->mRoutes[kService];
  route.mPriority = 2;
  if (aText == kPatientVersion) {
    route.mTimeout = std::chrono::minutes(1);
  }
  cluster::Route urgent = route;
  urgent.mPriority = aText == kEqualVersion ? 2 : 1;
  urgent.mKind = cluster::RequestKind::Unsafe;
  config->mRoutes[kUrgentService] = urgent;
  config->mServices["desk"].mColdPerSecond = 1;
  return config;
}

/// An agent of a backend server with two slots; the server, the entry instance
/// and the callers are emulated by the test.
struct AgentFixture : AgentOutput
{
  explicit AgentFixture(bool aScheduleFlows = true)
    : mReplica(&DecodePriorities)
  {
    FillReplica(mReplica, 3, 3, 2);
    AgentOptions options;
    options.mService = "desk";
    options.mDomain = "a";
    options.mScheduleFlows = aScheduleFlows;
    mCore = std::make_unique<FlowAgentCore>(
      options, mReplica, *this, mDecisions, mNow);
    SendHeartbeat();
  }

  void SendToBackend(std::span<const uint8_t> aBytes) override
  {
    mToBackend.push_back(aBytes.front());
    mIdsToBackend.push_back(aBytes.back());
  }
  void SendToCaller(std::span<const uint8_t>, const Address&) override {}
  void SendReset(const Packet&) override { ++mResets; }
  void SendToNode(cluster::NodeIp, const OfferReply& aReply) override
  {
    mReplies.push_back(aReply);
  }
  void SendToNode(cluster::NodeIp, const OwnerNotice&) override {}
  void SendToNode(cluster::NodeIp, const OwnerExclusion&) override {}

  void SendHeartbeat(Duration aColdRemaining = {})
  {
    Heartbeat heartbeat;
    heartbeat.mId = "i";
    heartbeat.mService = "desk";
    heartbeat.mSlots = 2;
    heartbeat.mStartTime = 5;
    heartbeat.mSequence = ++mSequence;
    heartbeat.mColdRemaining = aColdRemaining;
    mCore->OnHeartbeat(heartbeat, mNow);
  }

  /// Makes the final offer of a flow; aPort is also the packet's first byte.
  Refusal Offer(uint8_t aPort,
                const Address& aService = kService,
                uint32_t aRetransmission = 0,
                bool aReadsWaits = true)
  {
    Packet syn = SynPacket({ kCaller.mIp, aPort }, 100, aRetransmission);
    syn.mDestination = aService;
    syn.mServiceTag = ServiceTag("desk");
    syn.mMark = TransitMark::OfferFinal;
    syn.mOfferedToCandidate = true;
    syn.mReadsWaits = aReadsWaits;
    const std::vector<uint8_t> bytes(32, aPort);
    const size_t replies = mReplies.size();
    mCore->OnNodePacket(syn, bytes, kEntry, mNow);
    return mReplies.size() > replies ? mReplies.back().mRefusal : Refusal::None;
  }

  /// Opens a flow that was forwarded, and sends its request.
  void Open(uint8_t aPort, const Address& aService = kService)
  {
    Packet synAck = FromBackend(aPort, aService);
    synAck.mSyn = true;
    synAck.mSequence = 5000;
    mCore->OnBackendPacket(synAck, mBytes, mNow);
    Packet data = CallerData({ kCaller.mIp, aPort }, 5001, 10);
    data.mDestination = aService;
    mCore->OnNodePacket(data, mBytes, kEntry, mNow);
  }

  void Respond(uint8_t aPort, const Address& aService = kService)
  {
    Packet response = FromBackend(aPort, aService);
    response.mLength = 100;
    mCore->OnBackendPacket(response, mBytes, mNow);
  }

  static Packet FromBackend(uint8_t aPort, const Address& aService)
  {
    Packet packet;
    packet.mSource = aService;
    packet.mDestination = { kCaller.mIp, aPort };
    packet.mAck = true;
    return packet;
  }

  /// Occupies the two slots and the look-ahead with the flows 1 to 5.
  void FillServer()
  {
    for (const uint8_t port : { 1, 2, 3, 4, 5 }) {
      BOOST_REQUIRE((Offer(port) == Refusal::None));
      Open(port);
    }
    mToBackend.clear();
  }

  std::vector<uint8_t> mBytes = std::vector<uint8_t>(32);
  cluster::Replica mReplica;
  FakeDecisions mDecisions;
  /// The first and the last byte of each packet.
  std::vector<uint8_t> mToBackend;
  std::vector<uint8_t> mIdsToBackend;
  std::vector<OfferReply> mReplies;
  size_t mResets = 0;
  uint64_t mSequence = 0;
  Instant mNow{ std::chrono::seconds(10) };
  std::unique_ptr<FlowAgentCore> mCore;
};

} // namespace snipepost::flow
