#include <src/Daemon/AgentInstance.h>

#include <algorithm>
#include <cstring>
#include <random>

#include <snipepost/Routing/QuicInvariants.h>
#include <snipepost/Routing/RouteId.h>

#include <src/Daemon/CallerRequests.h>

namespace snipepost {

using namespace std::chrono_literals;

namespace {

/// Time in which a leaving agent's last packets and announcement go out.
constexpr Duration kFarewell = 300ms;

AgentOptions
CoreOptions(const Blackboard& aBoard)
{
  AgentOptions options;
  options.mAddress = aBoard.mOwn.mAddress;
  options.mIncarnation = aBoard.mOwn.mVersion.mIncarnation;
  return options;
}

/// What holds before the first document: nothing is accepted.
AgentConfig
ClosedConfig()
{
  AgentConfig config;
  config.mDomainOut = true;
  return config;
}

PacketKind
KindOf(const ServerEndpoint& aEndpoint, std::span<const uint8_t> aPayload)
{
  if (aEndpoint.ClaimsDatagram(aPayload)) {
    return PacketKind::Owned;
  }
  const auto invariants = ParseQuicInvariants(aPayload);
  return invariants && invariants->mIsInitial ? PacketKind::Opening
                                              : PacketKind::Unknown;
}

uint8_t
Share(size_t aPart, size_t aWhole)
{
  constexpr size_t kFull = 255;
  return aWhole == 0
           ? kFull
           : static_cast<uint8_t>(std::min(kFull, 256 * aPart / aWhole));
}

} // namespace

AgentInstance::Counters::Counters(Registry& aRegistry)
  : mFlowPackets(
      aRegistry.AddCounter("snipepost_flow_packets_total",
                           "Datagrams of callers that reached this agent."))
  , mFlowsAccepted(
      aRegistry.AddCounter("snipepost_accepted_flows_total", "Flows accepted."))
  , mHandedOn(aRegistry.AddCounter("snipepost_handed_on_packets_total",
                                   "Packets handed on to another candidate."))
  , mFlowsRefused(aRegistry.AddCounter("snipepost_refused_flows_total",
                                       "Flows refused by every candidate."))
  , mDropped(aRegistry.AddCounter("snipepost_dropped_packets_total",
                                  "Packets of flows that nobody holds."))
  , mBadPackets(aRegistry.AddCounter("snipepost_bad_packets_total",
                                     "Datagrams that were malformed or had a "
                                     "wrong tag."))
  , mReplies(aRegistry.AddCounter("snipepost_reply_packets_total",
                                  "Datagrams sent back to callers."))
  , mNoReturnPath(
      aRegistry.AddCounter("snipepost_no_return_path_packets_total",
                           "Datagrams dropped because no entry instance is "
                           "known."))
{
}

AgentInstance::AgentInstance(asio::io_context& aContext,
                             const DaemonSettings& aSettings,
                             Credentials aCredentials,
                             std::function<void()> aOnExit)
  : mContext(aContext)
  , mKeys(aSettings.Keys())
  , mSettings(aSettings)
  , mOnExit(std::move(aOnExit))
  , mCounters(mRegistry)
  , mSocket(aContext, aSettings.mListen)
  , mControl(aContext, aSettings, mKeys, *this)
  , mServer(aContext, aSettings.mListen, mKeys, mControl, mRegistry)
  , mCore(CoreOptions(mControl.Board()), ClosedConfig(), mKeys, MonotonicNow())
  , mEndpoint(
      std::move(aCredentials),
      QuicLimits{},
      aSettings.mListen,
      [this] { return IssueRouteId(); },
      [this](std::span<const uint8_t> aPayload,
             const Address& aCaller,
             ConnectionHandle aFlow) { SendReply(aPayload, aCaller, aFlow); },
      *this)
  , mPipeline(aContext,
              *aSettings.mBackend,
              mControl.Peers(),
              mRegistry,
              [this](const Event& aEvent) { Admission(aEvent); })
  , mMonitor(aContext,
             *aSettings.mBackend,
             [this](const BackendState& aState) { Admission(aState); })
  , mTimer(aContext)
  , mRandom(std::random_device{}())
{
  mRandomTag = mRandom.Below(~uint64_t{ 0 });
  mEndpoint.SetResetTokens(
    [this](std::span<const uint8_t> aId) { return ResetTokenOf(aId); });
  mPaths.SetSeeds(aSettings.mPeers);
  mServer.SetStatus([this] { return Status(); });
  mServer.SetRelayHandler([this](http2::ServerRequest aRequest,
                                 std::shared_ptr<http2::Responder> aResponder) {
    OnRelayRequest(std::move(aRequest), std::move(aResponder));
  });
  mSocket.Start(*this);
  mControl.Start();
  mMonitor.Start();
  Pump();
}

void
AgentInstance::BeginShutdown()
{
  LogLine(LogChannel::Daemon, LogLevel::Info, "draining");
  mServer.SetReady(false);
  mControl.SetState(InstanceState::Draining);
  Admission(ShutdownRequested{});
}

ConnectionIdBytes
AgentInstance::IssueRouteId()
{
  const InstanceRecord& own = mControl.Board().mOwn;
  RouteId id;
  id.mService = own.mService;
  id.mDomain = own.mDomain;
  id.mAgent = own.mAddress;
  id.mIncarnation = static_cast<uint16_t>(own.mVersion.mIncarnation.Value());
  constexpr uint64_t kNonces = uint64_t{ 1 } << 24U;
  ConnectionIdBytes bytes;
  do {
    id.mNonce = static_cast<uint32_t>(mRandom.Below(kNonces));
    bytes = EncodeRouteId(id, mKeys);
  } while (mEndpoint.ClaimsDatagram(ShortHeaderFor(bytes)));
  return bytes;
}

void
AgentInstance::OnDatagram(std::span<const uint8_t> aBytes, const Address& aFrom)
{
  const auto decoded = DecodePacket(aBytes, mKeys);
  const auto* packet = std::get_if<Packet>(&decoded);
  if (!packet) {
    mCounters.mBadPackets.Add();
    return;
  }
  if (packet->mHeader.mGeneration > mControl.CurrentGeneration()) {
    mControl.Feed(GenerationSeen{ aFrom, packet->mHeader.mGeneration });
  }
  switch (packet->mHeader.mType) {
    case PacketType::Probe:
      AnswerProbe(aFrom);
      return;
    case PacketType::Forward:
      mPaths.Heard(aFrom, MonotonicNow());
      [[fallthrough]];
    case PacketType::HandOn:
      mCounters.mFlowPackets.Add();
      HandleFlowPacket(*packet, aBytes, aFrom);
      return;
    default:
      mCounters.mBadPackets.Add();
  }
}

void
AgentInstance::AnswerProbe(const Address& aFrom)
{
  const Instant now = MonotonicNow();
  mPaths.Heard(aFrom, now);
  mControl.Feed(ProbeReceived{ aFrom });
  Admission(EntryConfirmed{});
  PacketHeader header;
  header.mType = PacketType::ProbeReply;
  header.mService = mControl.Board().mOwn.mService;
  header.mGeneration = mControl.CurrentGeneration();
  header.mLoad = Load();
  const size_t length = EncodePacket(header, {}, mSocket.Reserve(), mKeys);
  mSocket.Commit(length, aFrom);
}

void
AgentInstance::HandleFlowPacket(const Packet& aPacket,
                                std::span<const uint8_t>,
                                const Address& aFrom)
{
  const PacketHeader& header = aPacket.mHeader;
  const InstanceRecord& own = mControl.Board().mOwn;
  if (header.mService != own.mService) {
    mCounters.mBadPackets.Add();
    return;
  }
  FirstPacket packet;
  packet.mKind = KindOf(mEndpoint, aPacket.mPayload);
  const auto candidates = header.mCandidates.View();
  const auto self =
    std::find(candidates.begin(), candidates.end(), own.mAddress);
  packet.mCandidates = static_cast<uint8_t>(candidates.size());
  packet.mOwnIndex = static_cast<uint8_t>(self - candidates.begin());
  packet.mPresent = std::min<uint8_t>(2, packet.mCandidates);
  packet.mHops = header.mHopCount;
  if (self == candidates.end()) {
    mCounters.mBadPackets.Add();
    return;
  }
  const auto decision = mCore.OnFirstPacket(packet, MonotonicNow());
  mDelivering = header.mType == PacketType::Forward ? aFrom : Address{};
  switch (decision.mAction) {
    case HuntingDecision::Action::Accept:
      Deliver(aPacket, mDelivering);
      return;
    case HuntingDecision::Action::HandOn:
      HandOn(aPacket, decision.mCandidate);
      return;
    case HuntingDecision::Action::Refuse:
      mCounters.mFlowsRefused.Add();
      mEndpoint.Refuse(aPacket.mPayload, header.mCaller);
      return;
    case HuntingDecision::Action::Drop:
      mCounters.mDropped.Add();
      ResetWhenOwn(aPacket);
  }
}

void
AgentInstance::ResetWhenOwn(const Packet& aPacket)
{
  const auto invariants = ParseQuicInvariants(aPacket.mPayload);
  if (!invariants || invariants->mKind != QuicPacketKind::Short) {
    return;
  }
  const auto id = DecodeRouteId(invariants->mDestinationId, mKeys);
  if (id && id->mAgent == mControl.Board().mOwn.mAddress) {
    mEndpoint.ResetUnknown(aPacket.mPayload, aPacket.mHeader.mCaller);
  }
}

ResetToken
AgentInstance::ResetTokenOf(std::span<const uint8_t> aId) const
{
  // The slot in the ID survives a rotation: its secret still verifies.
  const uint8_t slot = aId.empty() ? 0 : aId[0] & 0x0f;
  std::vector<uint8_t> input(aId.begin(), aId.end());
  ResetToken token;
  for (uint8_t half = 0; half < 2; ++half) {
    input.push_back(half);
    const uint64_t tag = mKeys.Tag(slot, input).value_or(mRandomTag);
    std::memcpy(token.data() + half * sizeof tag, &tag, sizeof tag);
  }
  return token;
}

void
AgentInstance::Deliver(const Packet& aPacket, const Address& aFrom)
{
  const Instant now = MonotonicNow();
  const Address& caller = aPacket.mHeader.mCaller;
  auto flow = mEndpoint.OnDatagram(aPacket.mPayload, caller, now);
  if (!flow) {
    flow = mEndpoint.Accept(aPacket.mPayload, caller, now);
    if (!flow) {
      mCounters.mFlowsRefused.Add();
      mEndpoint.Refuse(aPacket.mPayload, caller);
      return;
    }
    mCounters.mFlowsAccepted.Add();
  }
  if (!aFrom.IsNull()) {
    mPaths.Heard(*flow, aFrom, now);
  }
}

void
AgentInstance::HandOn(const Packet& aPacket, uint8_t aCandidate)
{
  PacketHeader header = aPacket.mHeader;
  header.mType = PacketType::HandOn;
  ++header.mHopCount;
  const Address to = header.mCandidates[aCandidate];
  const size_t length =
    EncodePacket(header, aPacket.mPayload, mSocket.Reserve(), mKeys);
  mSocket.Commit(length, to);
  mCounters.mHandedOn.Add();
}

void
AgentInstance::SendReply(std::span<const uint8_t> aPayload,
                         const Address& aCaller,
                         ConnectionHandle aFlow)
{
  std::optional<Address> entry;
  if (aFlow == ConnectionHandle{} && !mDelivering.IsNull()) {
    entry = mDelivering;
  } else {
    entry = mPaths.Choose(aFlow, MonotonicNow());
  }
  if (!entry) {
    mCounters.mNoReturnPath.Add();
    return;
  }
  PacketHeader header;
  header.mType = PacketType::Reply;
  header.mService = mControl.Board().mOwn.mService;
  header.mGeneration = mControl.CurrentGeneration();
  header.mCaller = aCaller;
  header.mLoad = Load();
  const size_t length =
    EncodePacket(header, aPayload, mSocket.Reserve(), mKeys);
  mSocket.Commit(length, *entry);
  mCounters.mReplies.Add();
}

LoadReport
AgentInstance::Load() const
{
  const AgentLoad load = mCore.Load(MonotonicNow());
  LoadReport report;
  report.mUsedSlots = Share(load.mInFlight, load.mLimit);
  report.mQueue = Share(load.mQueued, load.mQueueCapacity);
  report.mState = load.mAcceptsFlows ? AgentState::Ready : AgentState::Draining;
  return report;
}

void
AgentInstance::OnFlowOpened(ConnectionHandle aFlow)
{
  Admission(FlowOpened{ FlowId(aFlow.Value()) });
}

void
AgentInstance::OnFlowClosed(ConnectionHandle aFlow, FlowEnd)
{
  mPaths.Forget(aFlow);
  Admission(FlowClosed{ FlowId(aFlow.Value()) });
}

void
AgentInstance::OnRequestHeaders(RequestHandle aRequest,
                                const HttpFields& aFields)
{
  mIncoming[aRequest].mFields = aFields;
}

void
AgentInstance::OnRequestBody(RequestHandle aRequest,
                             std::span<const uint8_t> aBytes)
{
  const auto found = mIncoming.find(aRequest);
  if (found == mIncoming.end()) {
    return;
  }
  found->second.mBody += http2::AsText(aBytes);
  if (found->second.mBody.size() > kMaxRequestBody) {
    CallerSink(mEndpoint, aRequest).Start(413, {});
    CallerSink(mEndpoint, aRequest).End();
    mIncoming.erase(found);
    return;
  }
  mEndpoint.ConsumeBody(aRequest, aBytes.size());
}

void
AgentInstance::OnRequestEnd(RequestHandle aRequest)
{
  const auto found = mIncoming.find(aRequest);
  if (found == mIncoming.end() || found->second.mId) {
    return;
  }
  auto sink = std::make_unique<CallerSink>(mEndpoint, aRequest);
  const HttpFields& fields = found->second.mFields;
  if (FieldValue(fields, ":path") == kKeyScopePath) {
    const std::string scope = mCore.IssueKeyScope(MonotonicNow());
    sink->Start(200, { { "content-type", "text/plain" } });
    sink->Write(
      { reinterpret_cast<const uint8_t*>(scope.data()), scope.size() });
    sink->End();
    mIncoming.erase(found);
    return;
  }
  Admit(
    FromCaller(
      fields, std::move(found->second.mBody), mDefaultDeadline, MonotonicNow()),
    std::move(sink),
    aRequest);
}

void
AgentInstance::Admit(CallerRequest aRequest,
                     std::unique_ptr<ResponseSink> aSink,
                     std::optional<RequestHandle> aHandle)
{
  RequestArrived arrived;
  arrived.mClass = ClassOf(aRequest, mBulkService);
  arrived.mIdempotent = aRequest.mIdempotent;
  arrived.mKey =
    std::string(http2::FindHeader(aRequest.mHeaders, "idempotency-key"));
  arrived.mDeadline = aRequest.mDeadline;
  arrived.mRequest = mPipeline.Add(std::move(aRequest), std::move(aSink));
  if (aHandle) {
    arrived.mFlow = FlowId(aHandle->mConnection.Value());
    mIncoming[*aHandle].mId = arrived.mRequest;
    mHandles[arrived.mRequest] = *aHandle;
  }
  Admission(arrived);
}

void
AgentInstance::OnRelayRequest(http2::ServerRequest aRequest,
                              std::shared_ptr<http2::Responder> aResponder)
{
  auto request = FromRelay(aRequest, mDefaultDeadline, MonotonicNow());
  if (!request) {
    aResponder->Respond(400, {}, "malformed relay\n");
    return;
  }
  Admit(*std::move(request),
        std::make_unique<RelaySink>(std::move(aResponder)),
        std::nullopt);
}

void
AgentInstance::OnRequestCancelled(RequestHandle aRequest)
{
  const auto found = mIncoming.find(aRequest);
  if (found == mIncoming.end()) {
    return;
  }
  const auto id = found->second.mId;
  mIncoming.erase(found);
  if (id) {
    mHandles.erase(*id);
    Admission(RequestCancelled{ *id });
    mPipeline.Forget(*id);
  }
}

void
AgentInstance::OnResponseDrained(RequestHandle aRequest)
{
  const auto found = mIncoming.find(aRequest);
  if (found != mIncoming.end() && found->second.mId) {
    mPipeline.Drained(*found->second.mId);
  }
}

void
AgentInstance::OnRequestDone(RequestHandle aRequest)
{
  const auto found = mIncoming.find(aRequest);
  if (found == mIncoming.end()) {
    return;
  }
  if (found->second.mId) {
    mHandles.erase(*found->second.mId);
  }
  mIncoming.erase(found);
}

void
AgentInstance::Admission(const Event& aEvent)
{
  for (const auto& effect : mCore.Handle(aEvent, MonotonicNow())) {
    std::visit([this](const auto& aOne) { Perform(aOne); }, effect);
  }
  SchedulePump();
}

void
AgentInstance::Perform(const SendShutdownNotice&)
{
  mEndpoint.SendShutdownNotice();
  mAnnouncedDrain = true;
}

void
AgentInstance::Perform(const SendFinalGoaway&)
{
  mEndpoint.SendGoaway();
}

void
AgentInstance::Perform(const CloseFlow& aEffect)
{
  mEndpoint.Close(ConnectionHandle(aEffect.mFlow.Value()), Http3Error::NoError);
}

void
AgentInstance::Perform(const ReadyToExit&)
{
  Leave();
}

void
AgentInstance::Leave()
{
  if (mLeaving) {
    return;
  }
  mLeaving = true;
  mControl.SetState(InstanceState::Left);
  auto timer = std::make_shared<asio::steady_timer>(mContext, kFarewell);
  timer->async_wait([this, timer](const asio::error_code&) {
    mEndpoint.CloseAll(Http3Error::NoError);
    Pump();
    mOnExit();
  });
}

void
AgentInstance::OnViewChanged()
{
  ApplyConfig();
}

void
AgentInstance::ApplyConfig()
{
  const auto& config = mControl.Config();
  const InstanceRecord& own = mControl.Board().mOwn;
  if (!config) {
    return;
  }
  AgentConfig agent;
  // A service that was removed drains like a backend server that was.
  agent.mDraining = true;
  const auto service = config->mServices.find(own.mService);
  if (service != config->mServices.end()) {
    agent.mSlots = service->second.mSlots;
    agent.mConnections = service->second.mConnections;
    agent.mRamp = service->second.mRamp;
    agent.mDraining = config->Standing({ own.mService, own.mAddress }) !=
                      BackendStanding::Admitted;
    mDefaultDeadline = service->second.mDeadline;
    mBulkService = service->second.mClass == ServiceClass::Bulk;
  }
  agent.mDomainOut = !config->IsIn(own.mDomain);
  Admission(ConfigChanged{ agent });
}

void
AgentInstance::OnControlTick(Instant aNow)
{
  const Blackboard& board = mControl.Board();
  Admission(LeaseChanged{ board.mOwnLeaseEnd, !board.mStore.mReachable });
  UpdateState(aNow);
}

void
AgentInstance::UpdateState(Instant aNow)
{
  const InstanceState state = mControl.Board().mOwn.mState;
  if (state == InstanceState::Left || state == InstanceState::Draining) {
    return;
  }
  const bool accepts = mCore.Load(aNow).mAcceptsFlows;
  if (accepts && mAnnouncedDrain) {
    mEndpoint.Reopen();
    mAnnouncedDrain = false;
  }
  mControl.SetState(accepts ? InstanceState::Ready : InstanceState::Starting);
}

void
AgentInstance::OnBatchEnd()
{
  Pump();
}

void
AgentInstance::SchedulePump()
{
  if (mPumpScheduled) {
    return;
  }
  mPumpScheduled = true;
  asio::post(mContext, [this] { Pump(); });
}

void
AgentInstance::Pump()
{
  mPumpScheduled = false;
  const Instant now = MonotonicNow();
  mDelivering = Address{};
  if (mEndpoint.NextDeadline() <= now) {
    mEndpoint.OnTimer(now);
  }
  mEndpoint.Flush(now);
  mSocket.Flush();
  Instant next = mEndpoint.NextDeadline();
  if (const auto tick = mCore.NextTick(now)) {
    next = std::min(next, *tick);
  }
  if (next == Instant::max()) {
    return;
  }
  mTimer.expires_after(std::max<Duration>(next - now, 100us));
  mTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Admission(Tick{});
    }
  });
}

boost::json::object
AgentInstance::Status() const
{
  const AgentLoad load = mCore.Load(MonotonicNow());
  const auto& own = mControl.Board().mOwn;
  return { { "service", own.mService.Value() },
           { "inFlight", load.mInFlight },
           { "limit", load.mLimit },
           { "queued", load.mQueued },
           { "flows", load.mFlows },
           { "records", load.mRecords },
           { "acceptsFlows", load.mAcceptsFlows } };
}

} // namespace snipepost
