#include "tools/callers/Caller.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <asio/post.hpp>

#include "tools/callers/Attempt.h"

namespace snipepost::tools {

namespace {

constexpr const char* kKeyScopePath = "/.well-known/snipepost/key-scope";
// The first use of a key must come within 5 min of fetching its scope.
constexpr Duration kKeyScopeRefreshInterval = std::chrono::minutes(4);
constexpr Duration kKeyScopeLifetime = std::chrono::minutes(5);
constexpr Duration kFirstBackoff = std::chrono::milliseconds(20);
constexpr Duration kMaxBackoff = std::chrono::seconds(1);
constexpr int kMaxAttempts = 4;
// A flow that stayed open this long resets the back-off between connections.
constexpr Duration kStableDuration = std::chrono::seconds(1);
// Several probe timeouts (PTO) on a lossy path with a round-trip time of a few
// milliseconds.
constexpr Duration kAcknowledgeTimeout = std::chrono::seconds(2);

} // namespace

/// Fetches the key scope of a flow.
class KeyScopeFetch : public ResponseEvents
{
public:
  KeyScopeFetch(Caller& aCaller, std::weak_ptr<Flow> aFlow)
    : mCaller(aCaller)
    , mFlow(std::move(aFlow))
    , mRequestedAt(Now())
  {
  }

  void OnHeaders(const HttpFields& aFields) override
  {
    mOk = FieldValue(aFields, ":status") == "200";
  }
  void OnBody(std::span<const uint8_t> aBytes) override
  {
    mKeyScope.append(aBytes.begin(), aBytes.end());
  }
  void OnEnd() override
  {
    auto flow = EndFetch();
    while (!mKeyScope.empty() && mKeyScope.back() <= ' ') {
      mKeyScope.pop_back();
    }
    if (flow && mOk && !mKeyScope.empty()) {
      flow->mKeyScope = mKeyScope;
      flow->mKeyScopeTime = mRequestedAt;
      mCaller.SubmitWaiting();
    }
  }
  void OnRejected() override { EndFetch(); }
  void OnBroken() override { EndFetch(); }

private:
  // The next tick repeats a failed fetch.
  std::shared_ptr<Flow> EndFetch()
  {
    auto flow = mFlow.lock();
    if (flow) {
      flow->mKeyScopePending = false;
    }
    return flow;
  }

  Caller& mCaller;
  std::weak_ptr<Flow> mFlow;
  Instant mRequestedAt;
  std::string mKeyScope;
  bool mOk = false;
};

Caller::Caller(LoadGenerator& aGenerator, const Address& aService)
  : mGenerator(aGenerator)
  , mService(aService)
  , mBackoffTimer(aGenerator.Context())
  , mBackoff(kFirstBackoff)
{
}

Caller::~Caller() = default;

void
Caller::Start()
{
  OpenFlow();
}

void
Caller::Stop()
{
  mStopped = true;
  mBackoffTimer.cancel();
  if (mCurrentFlow) {
    mCurrentFlow->Close();
  }
  for (auto& flow : mRetiredFlows) {
    flow->Close();
  }
}

void
Caller::Enqueue(const RequestPtr& aRequest)
{
  mWaiting.push_back(aRequest);
  SubmitWaiting();
}

void
Caller::OpenFlow()
{
  mBackingOff = false;
  if (mStopped) {
    return;
  }
  mFlowExpiry = Instant::max();
  const Duration life = mGenerator.RunOptions().mFlowLifetime;
  if (life > Duration::zero()) {
    const double factor = -std::log(1 - mGenerator.RandomSource().Fraction());
    mFlowExpiry = Now() + std::chrono::duration_cast<Duration>(life * factor);
  }
  mCurrentFlow = std::make_shared<Flow>(mGenerator.Context(), mService, *this);
  mCurrentFlow->Start();
}

void
Caller::OpenFlowAfterBackoff()
{
  if (mStopped || mBackingOff) {
    return;
  }
  mBackingOff = true;
  mBackoffTimer.expires_after(
    mGenerator.RandomSource().Jittered(mBackoff, 0.5));
  mBackoff = std::min(2 * mBackoff, kMaxBackoff);
  mBackoffTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      OpenFlow();
    }
  });
}

// Starts the handshake of the next flow before it closes the old one, so that a
// planned replacement delays the caller as little as possible.
void
Caller::ReplaceFlow()
{
  std::shared_ptr<Flow> old = std::move(mCurrentFlow);
  mRetiredFlows.push_back(old);
  OpenFlow();
  asio::post(mGenerator.Context(), [old] { old->Retire(); });
}

void
Caller::FetchKeyScope()
{
  const bool needed =
    mGenerator.RunOptions().mRates[IndexOf(RequestClass::Submission)] > 0;
  if (!needed || !mCurrentFlow || !mCurrentFlow->IsUsable() ||
      mCurrentFlow->mKeyScopePending) {
    return;
  }
  const HttpFields fields{ { ":method", "GET" },
                           { ":scheme", "https" },
                           { ":authority", "snipepost" },
                           { ":path", kKeyScopePath } };
  mCurrentFlow->mKeyScopePending =
    mCurrentFlow
      ->Submit(fields, {}, std::make_shared<KeyScopeFetch>(*this, mCurrentFlow))
      .has_value();
}

void
Caller::CancelOverdue(Instant aNow)
{
  for (auto it = mActiveAttempts.begin(); it != mActiveAttempts.end();) {
    const auto flow = it->mFlow.lock();
    const bool over = it->mAttempt->HasEnded() || !flow;
    if (!over && it->mRequest->mDone) {
      if (flow->mUnacknowledged.empty()) {
        flow->mUnacknowledgedSince = aNow;
      }
      flow->mUnacknowledged.push_back(it->mRequest->mClass);
      flow->Cancel(it->mStream);
    }
    it =
      over || it->mRequest->mDone ? mActiveAttempts.erase(it) : std::next(it);
  }
}

void
Caller::CheckUnacknowledged(Instant aNow)
{
  std::vector<std::shared_ptr<Flow>> flows(mRetiredFlows.begin(),
                                           mRetiredFlows.end());
  if (mCurrentFlow) {
    flows.push_back(mCurrentFlow);
  }
  for (const auto& flow : flows) {
    if (flow->mUnacknowledged.empty() ||
        aNow - flow->mUnacknowledgedSince < kAcknowledgeTimeout) {
      continue;
    }
    for (RequestClass cls : std::exchange(flow->mUnacknowledged, {})) {
      mGenerator.Counters().OnBroken(cls, aNow);
    }
    flow->Abandon();
  }
}

void
Caller::OnTick(Instant aNow)
{
  CancelOverdue(aNow);
  CheckUnacknowledged(aNow);
  if (!mCurrentFlow) {
    return;
  }
  if (mCurrentFlow->IsUsable() &&
      aNow - mCurrentFlow->OpenedAt() >= kStableDuration) {
    mBackoff = kFirstBackoff;
  }
  if (mCurrentFlow->mKeyScope.empty() ||
      aNow - mCurrentFlow->mKeyScopeTime >= kKeyScopeRefreshInterval) {
    FetchKeyScope();
  }
  if (aNow >= mFlowExpiry && mCurrentFlow->IsUsable()) {
    ReplaceFlow();
  }
  SubmitWaiting();
}

void
Caller::SubmitWaiting()
{
  if (mSubmitting) {
    return;
  }
  mSubmitting = true;
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    if ((*it)->mDone || TrySubmit(*it)) {
      it = mWaiting.erase(it);
    } else {
      // A submission that waits for a scope doesn't block the requests behind
      // it.
      ++it;
    }
  }
  mSubmitting = false;
}

bool
Caller::TrySubmit(const RequestPtr& aRequest)
{
  if (!mCurrentFlow || !mCurrentFlow->IsUsable() ||
      (aRequest->mClass == RequestClass::Submission && !AssignKey(*aRequest))) {
    return false;
  }
  auto attempt = std::make_shared<Attempt>(*this, aRequest);
  const std::string& body = aRequest->mBody;
  const auto stream = mCurrentFlow->Submit(
    MakeFields(*aRequest, Now()),
    { reinterpret_cast<const uint8_t*>(body.data()), body.size() },
    attempt);
  if (!stream) {
    return false;
  }
  ++aRequest->mAttempts;
  if (!aRequest->mKey.empty()) {
    mGenerator.Ledger().RecordUse(aRequest->mId, aRequest->mKey);
    mGenerator.Ledger().RecordReuse(aRequest->mKey);
  }
  mActiveAttempts.push_back({ mCurrentFlow, *stream, aRequest, attempt });
  return true;
}

bool
Caller::AssignKey(Request& aRequest)
{
  if (!aRequest.mKey.empty()) {
    return true;
  }
  if (mCurrentFlow->mKeyScope.empty() ||
      Now() - mCurrentFlow->mKeyScopeTime >= kKeyScopeLifetime) {
    return false;
  }
  aRequest.mKey = mCurrentFlow->mKeyScope + "." + mGenerator.UniqueKeySuffix();
  return true;
}

void
Caller::OnAttemptRejected(const RequestPtr& aRequest)
{
  aRequest->mLastRejected = true;
  if (!aRequest->mMayHaveRun && !aRequest->mKey.empty()) {
    mGenerator.Ledger().RecordNotRun(aRequest->mKey);
    // No request has run under this key. Its scope names an agent that may be
    // shutting down, so the retry uses the scope of the next connection.
    aRequest->mKey.clear();
  }
  Retry(aRequest, aRequest->mMayHaveRun ? Result::Unknown : Result::NotRun);
}

void
Caller::OnAttemptBroken(const RequestPtr& aRequest)
{
  aRequest->mLastRejected = false;
  aRequest->mMayHaveRun = true;
  mGenerator.Counters().OnBroken(aRequest->mClass, Now());
  const bool retriable = aRequest->mClass == RequestClass::Submission ||
                         aRequest->mClass == RequestClass::Query;
  if (!retriable) {
    mGenerator.Finish(aRequest, Result::Unknown);
    return;
  }
  Retry(aRequest, Result::Unknown);
}

void
Caller::Retry(const RequestPtr& aRequest, Result aResultWithoutRetry)
{
  if (aRequest->mDone) {
    return;
  }
  if (aRequest->mAttempts >= kMaxAttempts || aRequest->mDeadline <= Now() ||
      mStopped || !mGenerator.TryConsumeRetry()) {
    mGenerator.Finish(aRequest, aResultWithoutRetry);
    return;
  }
  mGenerator.Counters().OnRetry(aRequest->mClass);
  mWaiting.push_back(aRequest);
  // Another connection may reach an agent with free capacity.
  if (mCurrentFlow && mCurrentFlow->IsUsable()) {
    ReplaceFlow();
  }
}

void
Caller::OnFlowOpened(Flow& aFlow)
{
  ++mGenerator.Counters().mFlowsOpened;
  if (mCurrentFlow.get() != &aFlow) {
    return;
  }
  FetchKeyScope();
  SubmitWaiting();
}

void
Caller::OnFlowRetired(Flow& aFlow)
{
  ++mGenerator.Counters().mGoaways;
  if (mCurrentFlow.get() != &aFlow) {
    return;
  }
  if (Now() - aFlow.OpenedAt() >= kStableDuration) {
    ReplaceFlow();
    return;
  }
  // All reachable servers may be shutting down, so wait before reconnecting.
  std::shared_ptr<Flow> old = std::move(mCurrentFlow);
  mRetiredFlows.push_back(old);
  OpenFlowAfterBackoff();
  asio::post(mGenerator.Context(), [old] { old->Retire(); });
}

void
Caller::OnFlowClosed(Flow& aFlow, ClientCloseReason aReason, bool aWasOpen)
{
  if (aReason == ClientCloseReason::Refused) {
    ++mGenerator.Counters().mFlowsRefused;
  } else if (aWasOpen && aReason != ClientCloseReason::ClosedByClient &&
             mCurrentFlow.get() == &aFlow) {
    ++mGenerator.Counters().mFlowsLost;
  }
  const bool current = mCurrentFlow.get() == &aFlow;
  // The flow's connection makes this call and must outlive it. Releasing the
  // flow here is safe, because its pending handlers hold references to it.
  std::erase_if(mRetiredFlows,
                [&](const auto& aRetired) { return aRetired.get() == &aFlow; });
  if (current) {
    mCurrentFlow.reset();
    OpenFlowAfterBackoff();
  }
}

void
Caller::OnStreamFreed(Flow& aFlow)
{
  if (mCurrentFlow.get() == &aFlow) {
    SubmitWaiting();
  }
}

} // namespace snipepost::tools
