#include "tools/callers/Caller.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <asio/post.hpp>

#include "tools/callers/Attempt.h"

namespace snipepost::tools {

namespace {

constexpr const char* kScopePath = "/.well-known/snipepost/key-scope";
// A scope is valid for first use for 5 min.
constexpr Duration kScopeRefresh = std::chrono::minutes(4);
constexpr Duration kScopeLife = std::chrono::minutes(5);
constexpr Duration kFirstBackoff = std::chrono::milliseconds(20);
constexpr Duration kMaxBackoff = std::chrono::seconds(1);
constexpr int kMaxAttempts = 4;
// A flow that lasted this long ends the back-off between connections.
constexpr Duration kStableTime = std::chrono::seconds(1);
// Several probe timeouts of a path of a few milliseconds with loss.
constexpr Duration kAcknowledgeTime = std::chrono::seconds(2);

} // namespace

/// Receives a key scope.
class ScopeExchange : public Exchange
{
public:
  ScopeExchange(Caller& aCaller, std::weak_ptr<Flow> aFlow)
    : mCaller(aCaller)
    , mFlow(std::move(aFlow))
    , mAsked(Now())
  {
  }

  void OnHeaders(const HttpFields& aFields) override
  {
    mOk = FieldValue(aFields, ":status") == "200";
  }
  void OnBody(std::span<const uint8_t> aBytes) override
  {
    mScope.append(aBytes.begin(), aBytes.end());
  }
  void OnEnd() override
  {
    auto flow = Settle();
    while (!mScope.empty() && mScope.back() <= ' ') {
      mScope.pop_back();
    }
    if (flow && mOk && !mScope.empty()) {
      flow->mScope = mScope;
      flow->mScopeTime = mAsked;
      mCaller.Drain();
    }
  }
  void OnRejected() override { Settle(); }
  void OnBroken() override { Settle(); }

private:
  // A failed fetch is repeated by the next tick.
  std::shared_ptr<Flow> Settle()
  {
    auto flow = mFlow.lock();
    if (flow) {
      flow->mScopePending = false;
    }
    return flow;
  }

  Caller& mCaller;
  std::weak_ptr<Flow> mFlow;
  Instant mAsked;
  std::string mScope;
  bool mOk = false;
};

Caller::Caller(Run& aRun, const Address& aService)
  : mRun(aRun)
  , mService(aService)
  , mBackoffTimer(aRun.Context())
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
  if (mCurrent) {
    mCurrent->Close();
  }
  for (auto& flow : mOld) {
    flow->Close();
  }
}

void
Caller::Add(const RequestPtr& aRequest)
{
  mWaiting.push_back(aRequest);
  Drain();
}

void
Caller::OpenFlow()
{
  mBackingOff = false;
  if (mStopped) {
    return;
  }
  mFlowEnd = Instant::max();
  const Duration life = mRun.Settings().mFlowLife;
  if (life > Duration::zero()) {
    const double factor = -std::log(1 - mRun.Choices().Fraction());
    mFlowEnd = Now() + std::chrono::duration_cast<Duration>(life * factor);
  }
  mCurrent = std::make_shared<Flow>(mRun.Context(), mService, *this);
  mCurrent->Start();
}

void
Caller::OpenFlowLater()
{
  if (mStopped || mBackingOff) {
    return;
  }
  mBackingOff = true;
  mBackoffTimer.expires_after(mRun.Choices().Jittered(mBackoff, 0.5));
  mBackoff = std::min(2 * mBackoff, kMaxBackoff);
  mBackoffTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      OpenFlow();
    }
  });
}

// The next flow's handshake starts before the old flow is closed, so that a
// planned change costs a caller as little time as possible.
void
Caller::ReplaceFlow()
{
  std::shared_ptr<Flow> old = std::move(mCurrent);
  mOld.push_back(old);
  OpenFlow();
  asio::post(mRun.Context(), [old] { old->Retire(); });
}

void
Caller::FetchScope()
{
  const bool needed =
    mRun.Settings().mRates[IndexOf(RequestClass::Submission)] > 0;
  if (!needed || !mCurrent || !mCurrent->IsUsable() ||
      mCurrent->mScopePending) {
    return;
  }
  const HttpFields fields{ { ":method", "GET" },
                           { ":scheme", "https" },
                           { ":authority", "snipepost" },
                           { ":path", kScopePath } };
  mCurrent->mScopePending =
    mCurrent
      ->Submit(fields, {}, std::make_shared<ScopeExchange>(*this, mCurrent))
      .has_value();
}

void
Caller::CancelOverdue(Instant aNow)
{
  for (auto it = mActive.begin(); it != mActive.end();) {
    const auto flow = it->mFlow.lock();
    const bool over = it->mAttempt->IsOver() || !flow;
    if (!over && it->mRequest->mDone) {
      if (flow->mUnanswered.empty()) {
        flow->mUnansweredSince = aNow;
      }
      flow->mUnanswered.push_back(it->mRequest->mClass);
      flow->Cancel(it->mStream);
    }
    it = over || it->mRequest->mDone ? mActive.erase(it) : std::next(it);
  }
}

void
Caller::CheckUnanswered(Instant aNow)
{
  std::vector<std::shared_ptr<Flow>> flows(mOld.begin(), mOld.end());
  if (mCurrent) {
    flows.push_back(mCurrent);
  }
  for (const auto& flow : flows) {
    if (flow->mUnanswered.empty() ||
        aNow - flow->mUnansweredSince < kAcknowledgeTime) {
      continue;
    }
    for (RequestClass cls : std::exchange(flow->mUnanswered, {})) {
      mRun.Counters().OnBroken(cls, aNow);
    }
    flow->Abandon();
  }
}

void
Caller::OnTick(Instant aNow)
{
  CancelOverdue(aNow);
  CheckUnanswered(aNow);
  if (!mCurrent) {
    return;
  }
  if (mCurrent->IsUsable() && aNow - mCurrent->OpenedAt() >= kStableTime) {
    mBackoff = kFirstBackoff;
  }
  if (mCurrent->mScope.empty() ||
      aNow - mCurrent->mScopeTime >= kScopeRefresh) {
    FetchScope();
  }
  if (aNow >= mFlowEnd && mCurrent->IsUsable()) {
    ReplaceFlow();
  }
  Drain();
}

void
Caller::Drain()
{
  if (mDraining) {
    return;
  }
  mDraining = true;
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    if ((*it)->mDone || SubmitNext(*it)) {
      it = mWaiting.erase(it);
    } else {
      // A submission that waits for a scope doesn't hold up the others.
      ++it;
    }
  }
  mDraining = false;
}

bool
Caller::SubmitNext(const RequestPtr& aRequest)
{
  if (!mCurrent || !mCurrent->IsUsable() ||
      (aRequest->mClass == RequestClass::Submission && !ChooseKey(*aRequest))) {
    return false;
  }
  auto attempt = std::make_shared<Attempt>(*this, aRequest);
  const std::string& body = aRequest->mBody;
  const auto stream = mCurrent->Submit(
    MakeFields(*aRequest, Now()),
    { reinterpret_cast<const uint8_t*>(body.data()), body.size() },
    attempt);
  if (!stream) {
    return false;
  }
  ++aRequest->mAttempts;
  if (!aRequest->mKey.empty()) {
    mRun.Ledger().Use(aRequest->mId, aRequest->mKey);
    mRun.Ledger().Reuse(aRequest->mKey);
  }
  mActive.push_back({ mCurrent, *stream, aRequest, attempt });
  return true;
}

bool
Caller::ChooseKey(Request& aRequest)
{
  if (!aRequest.mKey.empty()) {
    return true;
  }
  if (mCurrent->mScope.empty() || Now() - mCurrent->mScopeTime >= kScopeLife) {
    return false;
  }
  aRequest.mKey = mCurrent->mScope + "." + mRun.UniquePart();
  return true;
}

void
Caller::OnAttemptRejected(const RequestPtr& aRequest)
{
  aRequest->mLastRejected = true;
  if (!aRequest->mMayHaveRun && !aRequest->mKey.empty()) {
    mRun.Ledger().ToldNotRun(aRequest->mKey);
    // Nothing has run under this key. Its scope names an agent that may be
    // leaving, so the retry takes the scope of the next connection.
    aRequest->mKey.clear();
  }
  Retry(aRequest, aRequest->mMayHaveRun ? Result::Unknown : Result::ToldNotRun);
}

void
Caller::OnAttemptBroken(const RequestPtr& aRequest)
{
  aRequest->mLastRejected = false;
  aRequest->mMayHaveRun = true;
  mRun.Counters().OnBroken(aRequest->mClass, Now());
  const bool retriable = aRequest->mClass == RequestClass::Submission ||
                         aRequest->mClass == RequestClass::Query;
  if (!retriable) {
    mRun.Finish(aRequest, Result::Unknown);
    return;
  }
  Retry(aRequest, Result::Unknown);
}

void
Caller::Retry(const RequestPtr& aRequest, Result aOtherwise)
{
  if (aRequest->mDone) {
    return;
  }
  if (aRequest->mAttempts >= kMaxAttempts || aRequest->mDeadline <= Now() ||
      mStopped || !mRun.TakeRetry()) {
    mRun.Finish(aRequest, aOtherwise);
    return;
  }
  mRun.Counters().OnRetry(aRequest->mClass);
  mWaiting.push_back(aRequest);
  // Another connection may lead to an agent that has room.
  if (mCurrent && mCurrent->IsUsable()) {
    ReplaceFlow();
  }
}

void
Caller::OnFlowOpened(Flow& aFlow)
{
  ++mRun.Counters().mFlowsOpened;
  if (mCurrent.get() != &aFlow) {
    return;
  }
  FetchScope();
  Drain();
}

void
Caller::OnFlowRetired(Flow& aFlow)
{
  ++mRun.Counters().mGoaways;
  if (mCurrent.get() != &aFlow) {
    return;
  }
  if (Now() - aFlow.OpenedAt() >= kStableTime) {
    ReplaceFlow();
    return;
  }
  // Every server that answers may be leaving; don't reconnect at once.
  std::shared_ptr<Flow> old = std::move(mCurrent);
  mOld.push_back(old);
  OpenFlowLater();
  asio::post(mRun.Context(), [old] { old->Retire(); });
}

void
Caller::OnFlowClosed(Flow& aFlow, ClientCloseReason aEnd, bool aWasOpen)
{
  if (aEnd == ClientCloseReason::Refused) {
    ++mRun.Counters().mFlowsRefused;
  } else if (aWasOpen && aEnd != ClientCloseReason::ClosedByClient &&
             mCurrent.get() == &aFlow) {
    ++mRun.Counters().mFlowsLost;
  }
  const bool current = mCurrent.get() == &aFlow;
  // This runs inside the flow's connection, which must outlive the call; the
  // flow's own handlers hold it until then.
  std::erase_if(mOld, [&](const auto& aOld) { return aOld.get() == &aFlow; });
  if (current) {
    mCurrent.reset();
    OpenFlowLater();
  }
}

void
Caller::OnFlowRoom(Flow& aFlow)
{
  if (mCurrent.get() == &aFlow) {
    Drain();
  }
}

} // namespace snipepost::tools
