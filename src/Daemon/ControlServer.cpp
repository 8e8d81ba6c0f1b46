#include <src/Daemon/ControlServer.h>

#include <snipepost/Membership/Codec.h>

#include <src/Daemon/MembershipMetrics.h>

namespace snipepost {

namespace json = boost::json;

namespace {

void
RespondJson(http2::Responder& aResponder, const json::value& aValue)
{
  aResponder.Respond(200,
                     { { "content-type", "application/json" } },
                     json::serialize(aValue) + '\n');
}

http2::ServerOptions
Options()
{
  http2::ServerOptions options;
  options.mMaxBody = kMaxExchangeBytes;
  return options;
}

const char*
StateName(InstanceState aState)
{
  constexpr std::array<const char*, 4> kNames{
    "starting", "ready", "draining", "left"
  };
  return kNames[static_cast<size_t>(aState)];
}

json::object
DescribeMember(const Blackboard& aBoard, const Member& aMember)
{
  const InstanceRecord& record = aMember.mRecord;
  json::object object{
    { "address", ToString(record.mAddress) },
    { "role", record.mRole == InstanceRole::Entry ? "entry" : "agent" },
    { "domain", record.mDomain.Value() },
    { "state", StateName(record.mState) },
    { "suspected", aBoard.mSuspects.contains(record.mAddress) },
    { "incarnation", record.mVersion.mIncarnation.Value() }
  };
  if (record.mRole == InstanceRole::Agent) {
    object["service"] = record.mService.Value();
    object["slots"] = record.mSlots;
  }
  return object;
}

} // namespace

const std::array<ControlServer::Route, 7> ControlServer::kRoutes{
  { { "GET", "/v1/document", false, &ControlServer::HandleDocument },
    { "GET", "/v1/view", false, &ControlServer::HandleView },
    { "POST", "/v1/exchange", true, &ControlServer::HandleExchange },
    { "GET", "/v1/status", false, &ControlServer::HandleStatus },
    { "GET", "/metrics", false, &ControlServer::HandleMetrics },
    { "GET", "/v1/ready", false, &ControlServer::HandleReady },
    { "POST", "/v1/relay", true, &ControlServer::HandleRelay } }
};

ControlServer::ControlServer(asio::io_context& aContext,
                             const Address& aListen,
                             const KeyRing& aKeys,
                             ControlPlane& aControl,
                             Registry& aRegistry)
  : mKeys(aKeys)
  , mControl(aControl)
  , mRegistry(aRegistry)
  , mUntaggedRequests(
      aRegistry.AddCounter("snipepost_untagged_requests_total",
                           "Control requests without a valid tag."))
  , mServer(
      aContext,
      aListen,
      [this](http2::ServerRequest aRequest, ResponderPtr aResponder) {
        Handle(std::move(aRequest), std::move(aResponder));
      },
      Options())
{
}

void
ControlServer::Handle(http2::ServerRequest aRequest, ResponderPtr aResponder)
{
  const std::string path = aRequest.mPath.substr(0, aRequest.mPath.find('?'));
  for (const Route& route : kRoutes) {
    if (path != route.mPath || aRequest.mMethod != route.mMethod) {
      continue;
    }
    if (route.mRequiresTag &&
        !VerifyRequest(mKeys,
                       http2::FindHeader(aRequest.mHeaders, kTagHeader),
                       aRequest.mMethod,
                       aRequest.mPath,
                       aRequest.mBody)) {
      mUntaggedRequests.Add();
      aResponder->Respond(403, {}, "missing or invalid tag\n");
      return;
    }
    (this->*route.mHandler)(std::move(aRequest), std::move(aResponder));
    return;
  }
  aResponder->Respond(404, {}, "no such path\n");
}

void
ControlServer::HandleDocument(http2::ServerRequest, ResponderPtr aResponder)
{
  const VersionedDocument& document = mControl.Board().mDocument;
  if (!document.Exists()) {
    aResponder->Respond(404, {}, "no document yet\n");
    return;
  }
  aResponder->Respond(
    200, { { "content-type", "application/json" } }, document.mText);
}

void
ControlServer::HandleView(http2::ServerRequest, ResponderPtr aResponder)
{
  const Blackboard& board = mControl.Board();
  json::array members;
  for (const auto& [address, member] : board.mMembers) {
    members.push_back(DescribeMember(board, member));
  }
  RespondJson(*aResponder,
              json::object{
                { "generation", board.mDocument.mVersion.mGeneration.Value() },
                { "members", std::move(members) } });
}

void
ControlServer::HandleExchange(http2::ServerRequest aRequest,
                              ResponderPtr aResponder)
{
  const auto message = ParseExchange(aRequest.mBody);
  if (!message) {
    aResponder->Respond(400, {}, "malformed exchange message\n");
    return;
  }
  aResponder->Respond(200,
                      { { "content-type", "application/json" } },
                      WriteExchange(mControl.ReplyToExchange(*message)));
}

void
ControlServer::HandleStatus(http2::ServerRequest, ResponderPtr aResponder)
{
  const Blackboard& board = mControl.Board();
  json::object status{
    { "address", ToString(board.mOwn.mAddress) },
    { "role", board.mOwn.mRole == InstanceRole::Entry ? "entry" : "agent" },
    { "domain", board.mOwn.mDomain.Value() },
    { "region", board.mOwn.mRegion },
    { "state", StateName(board.mOwn.mState) },
    { "incarnation", board.mOwn.mVersion.mIncarnation.Value() },
    { "generation", board.mDocument.mVersion.mGeneration.Value() },
    { "submission", board.mDocument.mVersion.mSubmission.Value() },
    { "storeReachable", board.mStore.mReachable },
    { "members", board.mMembers.size() },
    { "suspects", board.mSuspects.size() }
  };
  if (mStatusProvider) {
    for (auto& [name, value] : mStatusProvider()) {
      status[name] = value;
    }
  }
  RespondJson(*aResponder, status);
}

void
ControlServer::HandleMetrics(http2::ServerRequest, ResponderPtr aResponder)
{
  aResponder->Respond(200,
                      { { "content-type", "text/plain; version=0.0.4" } },
                      mRegistry.PrometheusText() +
                        MembershipMetrics(mControl.Board()));
}

void
ControlServer::HandleReady(http2::ServerRequest, ResponderPtr aResponder)
{
  const auto& config = mControl.Config();
  // The fabric must not send packets to a failure domain that is out.
  const bool ready =
    mReady && config && config->IsInService(mControl.Board().mOwn.mDomain);
  aResponder->Respond(
    ready ? 200 : 503, {}, ready ? "ready\n" : "not in service\n");
}

void
ControlServer::HandleRelay(http2::ServerRequest aRequest,
                           ResponderPtr aResponder)
{
  if (!mRelay) {
    aResponder->Respond(404, {}, "this role runs no requests\n");
    return;
  }
  mRelay(std::move(aRequest), std::move(aResponder));
}

} // namespace snipepost
