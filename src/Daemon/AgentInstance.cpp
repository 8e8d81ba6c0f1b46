#include <src/Daemon/AgentInstance.h>

#include <algorithm>
#include <random>

#include <src/Daemon/CallerRequests.h>

namespace snipepost {

using namespace std::chrono_literals;

namespace {

/// Delay before exit, in which a leaving agent's last packets and state
/// announcement are sent.
constexpr Duration kExitDelay = 300ms;

AgentOptions
CoreOptions(const Blackboard& aBoard)
{
  AgentOptions options;
  options.mAddress = aBoard.mOwn.mAddress;
  options.mIncarnation = aBoard.mOwn.mVersion.mIncarnation;
  return options;
}

/// The configuration before the first document: no flow is accepted.
AgentConfig
ClosedConfig()
{
  AgentConfig config;
  config.mDomainOut = true;
  return config;
}

} // namespace

AgentInstance::Counters::Counters(Registry& aRegistry)
  : mFlowPackets(
      aRegistry.AddCounter("snipepost_flow_packets_total",
                           "Datagrams of callers that reached this agent."))
  , mFlowsAccepted(
      aRegistry.AddCounter("snipepost_accepted_flows_total", "Flows accepted."))
  , mForwardedToCandidate(
      aRegistry.AddCounter("snipepost_handed_on_packets_total",
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
              [this](const Event& aEvent) { HandleAdmissionEvent(aEvent); })
  , mMonitor(
      aContext,
      *aSettings.mBackend,
      [this](const BackendState& aState) { HandleAdmissionEvent(aState); })
  , mTimer(aContext)
  , mRandom(std::random_device{}())
{
  mFallbackTag = mRandom.Below(~uint64_t{ 0 });
  mEndpoint.SetResetTokenGenerator(
    [this](std::span<const uint8_t> aId) { return ResetTokenOf(aId); });
  mReturnPaths.SetSeeds(aSettings.mPeers);
  mServer.SetStatusProvider([this] { return Status(); });
  mServer.SetRelayHandler([this](http2::ServerRequest aRequest,
                                 std::shared_ptr<http2::Responder> aResponder) {
    OnRelayRequest(std::move(aRequest), std::move(aResponder));
  });
  mSocket.Start(*this);
  mControl.Start();
  mMonitor.Start();
  FlushAndSetTimer();
}

void
AgentInstance::BeginShutdown()
{
  LogLine(LogChannel::Daemon, LogLevel::Info, "draining");
  mServer.SetReady(false);
  mControl.SetState(InstanceState::Draining);
  HandleAdmissionEvent(ShutdownRequested{});
}

void
AgentInstance::OnFlowOpened(ConnectionHandle aFlow)
{
  HandleAdmissionEvent(FlowOpened{ FlowId(aFlow.Value()) });
}

void
AgentInstance::OnFlowClosed(ConnectionHandle aFlow, FlowCloseReason)
{
  mReturnPaths.RemoveFlow(aFlow);
  HandleAdmissionEvent(FlowClosed{ FlowId(aFlow.Value()) });
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
  // Flow control credit is returned for rejected bodies, too: all streams of
  // the connection share it.
  mEndpoint.ConsumeBody(aRequest, aBytes.size());
  const auto found = mIncoming.find(aRequest);
  if (found == mIncoming.end()) {
    return;
  }
  found->second.mBody += http2::AsText(aBytes);
  if (found->second.mBody.size() > kMaxRequestBody) {
    CallerSink(mEndpoint, aRequest).Start(413, {});
    CallerSink(mEndpoint, aRequest).End();
    mIncoming.erase(found);
  }
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
      fields, std::move(found->second.mBody), mDefaultTimeout, MonotonicNow()),
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
  arrived.mDigest = DigestOf(aRequest);
  arrived.mDeadline = aRequest.mDeadline;
  arrived.mRequest = mPipeline.Add(std::move(aRequest), std::move(aSink));
  if (aHandle) {
    arrived.mFlow = FlowId(aHandle->mConnection.Value());
    mIncoming[*aHandle].mId = arrived.mRequest;
    mHandles[arrived.mRequest] = *aHandle;
  }
  HandleAdmissionEvent(arrived);
}

void
AgentInstance::OnRelayRequest(http2::ServerRequest aRequest,
                              std::shared_ptr<http2::Responder> aResponder)
{
  auto request = FromRelay(aRequest, mDefaultTimeout, MonotonicNow());
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
    HandleAdmissionEvent(RequestCancelled{ *id });
    mPipeline.DetachCaller(*id);
  }
}

void
AgentInstance::OnResponseWritable(RequestHandle aRequest)
{
  const auto found = mIncoming.find(aRequest);
  if (found != mIncoming.end() && found->second.mId) {
    mPipeline.OnCallerWritable(*found->second.mId);
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
AgentInstance::HandleAdmissionEvent(const Event& aEvent)
{
  for (const auto& effect : mCore.Handle(aEvent, MonotonicNow())) {
    std::visit([this](const auto& aEffect) { Perform(aEffect); }, effect);
  }
  ScheduleFlush();
}

void
AgentInstance::Perform(const SendShutdownNotice&)
{
  mEndpoint.SendShutdownNotice();
  mShutdownNoticeSent = true;
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
  auto timer = std::make_shared<asio::steady_timer>(mContext, kExitDelay);
  timer->async_wait([this, timer](const asio::error_code&) {
    mEndpoint.CloseAll(Http3Error::NoError);
    FlushAndSetTimer();
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
  AgentConfig agentConfig;
  // A removed service drains in the same way as a removed backend server.
  agentConfig.mDraining = true;
  const auto service = config->mServices.find(own.mService);
  if (service != config->mServices.end()) {
    agentConfig.mSlots = service->second.mSlots;
    agentConfig.mConnections = service->second.mConnections;
    agentConfig.mRamp = service->second.mRamp;
    agentConfig.mDraining =
      config->AdmissionStateOf({ own.mService, own.mAddress }) !=
      AdmissionState::Admitted;
    mDefaultTimeout = service->second.mDeadline;
    mBulkService = service->second.mClass == ServiceClass::Bulk;
    agentConfig.mBulkService = mBulkService;
  }
  agentConfig.mDomainOut = !config->IsInService(own.mDomain);
  HandleAdmissionEvent(ConfigChanged{ agentConfig });
}

void
AgentInstance::OnControlTick(Instant aNow)
{
  const Blackboard& board = mControl.Board();
  HandleAdmissionEvent(
    LeaseChanged{ board.mOwnLeaseEnd, !board.mStore.mReachable });
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
  if (accepts && mShutdownNoticeSent) {
    mEndpoint.Reopen();
    mShutdownNoticeSent = false;
  }
  mControl.SetState(accepts ? InstanceState::Ready : InstanceState::Starting);
}

void
AgentInstance::OnBatchEnd()
{
  FlushAndSetTimer();
}

void
AgentInstance::ScheduleFlush()
{
  if (mFlushScheduled) {
    return;
  }
  mFlushScheduled = true;
  asio::post(mContext, [this] { FlushAndSetTimer(); });
}

void
AgentInstance::FlushAndSetTimer()
{
  mFlushScheduled = false;
  const Instant now = MonotonicNow();
  mCurrentEntry = Address{};
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
      HandleAdmissionEvent(Tick{});
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
