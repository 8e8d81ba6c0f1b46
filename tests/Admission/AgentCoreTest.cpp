#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <deque>

#include <snipepost/Admission/AgentCore.h>

using namespace snipepost;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ 100s };
const KeyRing kKeys(SecretKey{ 1 });
const Address kAgent{ 0x7f000001, 4433 };

/// An agent with a warm backend server and a lease.
struct WarmAgent
{
  AgentCore mCore{ { .mAddress = kAgent, .mIncarnation = Incarnation(5) },
                   {},
                   kKeys,
                   kStart };
  Instant mNow = kStart;

  WarmAgent()
  {
    mCore.OnLease({ kStart + 1h }, mNow);
    mCore.OnBackendState({ .mReachable = true, .mBoot = "one" }, mNow);
    mNow += 20s;
  }

  Effects Send(uint64_t aId,
               RequestClass aClass,
               const std::string& aKey = {},
               Duration aLeft = 10s)
  {
    return mCore.OnRequest({ .mRequest = RequestId(aId),
                             .mFlow = FlowId(1),
                             .mClass = aClass,
                             .mIdempotent = aClass != RequestClass::Submission,
                             .mKey = aKey,
                             .mDeadline = mNow + aLeft },
                           mNow);
  }

  Effects End(uint64_t aId, BackendOutcome aOutcome)
  {
    return mCore.OnBackendResult(
      { .mRequest = RequestId(aId),
        .mOutcome = aOutcome,
        .mResponse = std::make_shared<const std::string>("done") },
      mNow);
  }

  std::string Key() const { return mCore.IssueKeyScope(mNow) + ".k"; }
};

template<typename Type>
const Type*
Find(const Effects& aEffects, uint64_t aId)
{
  for (const Effect& effect : aEffects) {
    const auto* found = std::get_if<Type>(&effect);
    if (found && found->mRequest.Value() == aId) {
      return found;
    }
  }
  return nullptr;
}

template<typename Type>
bool
Has(const Effects& aEffects)
{
  return std::any_of(
    aEffects.begin(), aEffects.end(), [](const Effect& aEffect) {
      return std::holds_alternative<Type>(aEffect);
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(AgentCoreTest)

// Guards against bulk transfers that occupy all slots, and against bulk
// transfers that wait although slots are idle.
BOOST_AUTO_TEST_CASE(BulkUsesAllSlotsButOne)
{
  WarmAgent agent;
  for (uint64_t id = 1; id <= 3; ++id) {
    BOOST_TEST(Find<ForwardRequest>(agent.Send(id, RequestClass::Bulk), id));
  }
  BOOST_TEST(agent.Send(4, RequestClass::Bulk).empty());
  BOOST_TEST(Find<ForwardRequest>(agent.Send(5, RequestClass::Query), 5));
  BOOST_TEST(Find<ForwardRequest>(agent.End(1, BackendOutcome::Answered), 4));
}

// Guards against an agent that doesn't record slot times or doesn't apply the
// guaranteed shares, and against a transfer that occupies the only slot of a
// cold server while submissions wait.
BOOST_AUTO_TEST_CASE(SubmissionsOverload_OtherClassesRun)
{
  for (const uint32_t limit : { 1U, 2U }) {
    WarmAgent agent;
    std::array<size_t, 4> forwarded{};
    std::deque<RequestId> running;
    const auto collect = [&](const Effects& aEffects) {
      for (const Effect& effect : aEffects) {
        if (const auto* forward = std::get_if<ForwardRequest>(&effect)) {
          running.push_back(forward->mRequest);
          ++forwarded[forward->mRequest.Value() % 4];
        }
      }
    };
    // Twice as many submissions as can run; every request occupies its slot for
    // the same time.
    for (uint64_t id = 1; id <= 8000; ++id) {
      collect(agent.mCore.OnBackendState(
        { .mReachable = true, .mBoot = "one", .mSlots = limit }, agent.mNow));
      collect(agent.Send(id,
                         id % 4 == 0   ? RequestClass::Bulk
                         : id % 4 == 1 ? RequestClass::Query
                                       : RequestClass::Submission));
      if (id % 4 == 0) {
        agent.mNow += 10ms;
        const uint64_t ended = running.front().Value();
        running.pop_front();
        collect(agent.End(ended, BackendOutcome::Answered));
      }
    }
    // About 2000 requests ran; the shares are 15 % and 3 %.
    BOOST_TEST(forwarded[1] >= 280U);
    BOOST_TEST((forwarded[0] >= 50U) == (limit == 2U));
    BOOST_TEST(forwarded[2] + forwarded[3] >= 1600U);
  }
}

// Guards against a bulk service whose last slot is always idle, and against a
// flag that stays in effect after the configuration changed.
BOOST_AUTO_TEST_CASE(BulkServiceUsesAllSlots)
{
  WarmAgent agent;
  agent.mCore.OnConfig({ { .mBulkService = true } }, agent.mNow);
  for (uint64_t id = 1; id <= 4; ++id) {
    BOOST_TEST(Find<ForwardRequest>(agent.Send(id, RequestClass::Bulk), id));
  }
  agent.mCore.OnConfig({ {} }, agent.mNow);
  agent.Send(5, RequestClass::Bulk);
  BOOST_TEST(!Find<ForwardRequest>(agent.End(1, BackendOutcome::Answered), 5));
  BOOST_TEST(Find<ForwardRequest>(agent.End(2, BackendOutcome::Answered), 5));
}

// Guards against bulk requests that wait for seconds behind long ones while
// another agent has free slots, and against agents that reject the same request
// in turn while all of them are full.
BOOST_AUTO_TEST_CASE(BulkSlotsBusyForLong_NextIsRejectedOnce)
{
  WarmAgent agent;
  agent.mCore.OnFlowOpened({ FlowId(1) }, agent.mNow);
  agent.mNow += 1s;
  for (uint64_t id = 1; id <= 4; ++id) {
    agent.Send(id, RequestClass::Bulk);
  }
  BOOST_TEST((agent.mCore.NextTick(agent.mNow) == agent.mNow + 250ms));
  agent.mNow += 250ms;
  BOOST_TEST(Find<Reject>(agent.mCore.OnTick({}, agent.mNow), 4));
  agent.mCore.OnFlowClosed({ FlowId(1) }, agent.mNow);
  agent.mCore.OnFlowOpened({ FlowId(1) }, agent.mNow);
  agent.Send(5, RequestClass::Bulk);
  agent.mNow += 2s;
  BOOST_TEST(agent.mCore.OnTick({}, agent.mNow).empty());
}

// Guards against rejecting bulk requests when the slots are occupied by short
// requests only.
BOOST_AUTO_TEST_CASE(BulkSlotsBusyBriefly_NextWaits)
{
  WarmAgent agent;
  agent.mCore.OnFlowOpened({ FlowId(1) }, agent.mNow);
  agent.mNow += 1s;
  for (uint64_t id = 1; id <= 5; ++id) {
    agent.Send(id, RequestClass::Bulk);
  }
  agent.mNow += 200ms;
  BOOST_TEST(Find<ForwardRequest>(agent.End(1, BackendOutcome::Answered), 4));
  agent.mNow += 200ms;
  BOOST_TEST(agent.mCore.OnTick({}, agent.mNow).empty());
}

// Guards against a flow that the first candidate accepts although its bulk
// slots are used and the second candidate may have a free one.
BOOST_AUTO_TEST_CASE(BulkSlotsUsed_FlowGoesToTheSecondCandidate)
{
  WarmAgent agent;
  for (uint64_t id = 1; id <= 3; ++id) {
    agent.Send(id, RequestClass::Bulk);
  }
  const ReceivedPacket initial{ .mCandidates = 2, .mFromCurrentTable = 2 };
  BOOST_TEST(
    (agent.mCore.OnReceivedPacket(initial, agent.mNow) ==
     HuntingDecision{ HuntingDecision::Action::ForwardToCandidate, 1 }));
}

// Guards against one slow response after which all later requests are rejected:
// without further responses, the estimate would never be corrected.
BOOST_AUTO_TEST_CASE(SlowResponse_LaterRequestsStillRun)
{
  WarmAgent agent;
  agent.Send(1, RequestClass::Query, {}, 60s);
  agent.mNow += 8s;
  agent.End(1, BackendOutcome::Answered);
  BOOST_TEST(
    Find<ForwardRequest>(agent.Send(2, RequestClass::Query, {}, 2s), 2));
}

// Guards against bulk requests that occupy all slots allowed by a lower limit,
// as with a cold server.
BOOST_AUTO_TEST_CASE(BulkLeavesASlotWhenTheLimitIsLow)
{
  WarmAgent agent;
  agent.mCore.OnBackendState(
    { .mReachable = true, .mBoot = "one", .mSlots = 2 }, agent.mNow);
  BOOST_TEST(Find<ForwardRequest>(agent.Send(1, RequestClass::Bulk), 1));
  BOOST_TEST(agent.Send(2, RequestClass::Bulk).empty());
  BOOST_TEST(Find<ForwardRequest>(agent.Send(3, RequestClass::Query), 3));
}

BOOST_AUTO_TEST_CASE(P7_Duplicate_GetsTheOriginalResponse)
{
  WarmAgent agent;
  const std::string key = agent.Key();
  BOOST_TEST(
    Find<ForwardRequest>(agent.Send(1, RequestClass::Submission, key), 1));
  BOOST_TEST(agent.Send(2, RequestClass::Submission, key).empty());
  const auto effects = agent.End(1, BackendOutcome::Answered);
  BOOST_REQUIRE(Find<ReplayResponse>(effects, 2));
  BOOST_TEST(*Find<ReplayResponse>(effects, 2)->mResponse == "done");
  BOOST_TEST(
    Find<ReplayResponse>(agent.Send(3, RequestClass::Submission, key), 3));
}

// Guards against sending the stored response to a different request with the
// same key, and against running that request.
BOOST_AUTO_TEST_CASE(P5_P7_SameKeyOtherRequest_GetsNoStoredResponse)
{
  WarmAgent agent;
  const std::string key = agent.Key();
  const auto send = [&](uint64_t aId, uint64_t aDigest) {
    return agent.mCore.OnRequest({ .mRequest = RequestId(aId),
                                   .mClass = RequestClass::Submission,
                                   .mIdempotent = false,
                                   .mKey = key,
                                   .mDigest = aDigest,
                                   .mDeadline = agent.mNow + 10s },
                                 agent.mNow);
  };
  BOOST_TEST(Find<ForwardRequest>(send(1, 7), 1));
  BOOST_TEST(Find<RespondKeyReused>(send(2, 8), 2));
  BOOST_TEST(send(3, 7).empty());
  const auto effects = agent.End(1, BackendOutcome::Answered);
  BOOST_TEST(Find<ReplayResponse>(effects, 3));
  BOOST_TEST(!Find<ReplayResponse>(effects, 2));
  const auto later = send(4, 8);
  BOOST_TEST(Find<RespondKeyReused>(later, 4));
  BOOST_TEST(later.size() == 1U);
  BOOST_TEST(Find<ReplayResponse>(send(5, 7), 5));
}

// Guards against losing the response when the caller's flow is closed.
BOOST_AUTO_TEST_CASE(P7_FlowLost_RetryGetsTheResponse)
{
  WarmAgent agent;
  const std::string key = agent.Key();
  agent.Send(1, RequestClass::Submission, key);
  BOOST_TEST(agent.mCore.OnFlowClosed({ FlowId(1) }, agent.mNow).empty());
  agent.Send(2, RequestClass::Submission, key);
  BOOST_TEST(Find<ReplayResponse>(agent.End(1, BackendOutcome::Answered), 2));
}

BOOST_AUTO_TEST_CASE(P6_BackendBroken_OutcomeDependsOnTheRequest)
{
  WarmAgent agent;
  agent.Send(1, RequestClass::Submission);
  BOOST_TEST(
    Find<RespondOutcomeUnknown>(agent.End(1, BackendOutcome::Broken), 1));
  agent.Send(2, RequestClass::Query);
  BOOST_TEST(Find<ForwardRequest>(agent.End(2, BackendOutcome::Broken), 2));
}

// Guards against a submission that fails on a refusal although it did not run,
// and against one that is retried after it may have run.
BOOST_AUTO_TEST_CASE(P6_P7_RefusedByBackend_RetriedWithinTheBudget)
{
  WarmAgent agent;
  agent.Send(1, RequestClass::Submission);
  BOOST_TEST(Find<ForwardRequest>(agent.End(1, BackendOutcome::Refused), 1));
  // A new agent has a budget of one retry.
  BOOST_TEST(Find<Reject>(agent.End(1, BackendOutcome::Refused), 1));
  WarmAgent other;
  other.Send(2, RequestClass::Submission);
  BOOST_TEST(Find<ForwardRequest>(other.End(2, BackendOutcome::Refused), 2));
  const auto effects = other.End(2, BackendOutcome::Broken);
  BOOST_TEST(Find<RespondOutcomeUnknown>(effects, 2));
  BOOST_TEST(!Find<ForwardRequest>(effects, 2));
}

// Guards against running a request when the agent can't determine whether a
// request with the same key ran before.
BOOST_AUTO_TEST_CASE(P7_KeyOfAnotherScope_RequestIsNotRun)
{
  WarmAgent agent;
  const auto key = [&](Address aAddress, uint64_t aIncarnation, int aIssued) {
    const KeyScope scope{ aAddress,
                          Incarnation(aIncarnation),
                          static_cast<uint32_t>(aIssued) };
    return WriteKeyScope(scope, kKeys) + ".k";
  };
  const auto submission = RequestClass::Submission;
  const Address other{ 0x7f000002, 4433 };
  const auto relayed = agent.Send(1, submission, key(other, 5, 110));
  BOOST_REQUIRE(Find<Relay>(relayed, 1));
  BOOST_TEST((Find<Relay>(relayed, 1)->mAgent == other));
  const auto older = agent.Send(2, submission, key(kAgent, 4, 110));
  BOOST_TEST(Find<RespondOutcomeUnknown>(older, 2));
  agent.mNow = kStart + 10min;
  const auto expired = agent.Send(3, submission, key(kAgent, 5, 110));
  BOOST_TEST(Find<RespondOutcomeUnknown>(expired, 3));
  BOOST_TEST(Find<Reject>(agent.Send(4, submission, "junk"), 4));
}

// Guards against unbounded memory use by relays.
BOOST_AUTO_TEST_CASE(P6_RelayLimitReached_OutcomeIsUnknown)
{
  WarmAgent agent;
  const KeyScope scope{ { 0x7f000002, 1 }, Incarnation(1), 110 };
  const std::string key = WriteKeyScope(scope, kKeys) + ".k";
  for (uint64_t id = 1; id <= 256; ++id) {
    agent.Send(id, RequestClass::Submission, key);
  }
  const auto effects = agent.Send(257, RequestClass::Submission, key);
  BOOST_TEST(Find<RespondOutcomeUnknown>(effects, 257));
  agent.mCore.OnRelayFinished({ RequestId(1) }, agent.mNow);
  const auto next = agent.Send(258, RequestClass::Submission, key);
  BOOST_TEST(Find<Relay>(next, 258));
}

BOOST_AUTO_TEST_CASE(P9_Shutdown_WaitsForRequestsInProgress)
{
  WarmAgent agent;
  agent.mCore.OnFlowOpened({ FlowId(1) }, agent.mNow);
  agent.Send(1, RequestClass::Query);
  const auto effects = agent.mCore.OnShutdown({}, agent.mNow);
  BOOST_TEST(Has<SendShutdownNotice>(effects));
  BOOST_TEST((agent.mCore.NextTick(agent.mNow) == agent.mNow + 1s));
  agent.mNow += 1s;
  const auto closing = agent.mCore.OnTick({}, agent.mNow);
  BOOST_TEST(Has<SendFinalGoaway>(closing));
  BOOST_TEST(!Has<ReadyToExit>(closing));
  BOOST_TEST(Find<Reject>(agent.Send(2, RequestClass::Query), 2));
  BOOST_TEST(Has<ReadyToExit>(agent.End(1, BackendOutcome::Answered)));
}

// Guards against accepting requests on a flow after its final GOAWAY when the
// drain was cancelled.
BOOST_AUTO_TEST_CASE(P8_DrainCancelled_ClosingFlowAcceptsNoRequest)
{
  WarmAgent agent;
  agent.mCore.OnFlowOpened({ FlowId(1) }, agent.mNow);
  agent.mCore.OnConfig({ { .mDraining = true } }, agent.mNow);
  agent.mNow += 1s;
  agent.mCore.OnConfig({ {} }, agent.mNow);
  BOOST_TEST(agent.mCore.Load(agent.mNow).mAcceptsFlows);
  BOOST_TEST(Find<Reject>(agent.Send(1, RequestClass::Query), 1));
  agent.mCore.OnFlowClosed({ FlowId(1) }, agent.mNow);
  agent.mCore.OnFlowOpened({ FlowId(1) }, agent.mNow);
  BOOST_TEST(Find<ForwardRequest>(agent.Send(2, RequestClass::Query), 2));
}

BOOST_AUTO_TEST_CASE(P4_DomainOut_EndsAllRequestsAndFlows)
{
  WarmAgent agent;
  agent.mCore.OnFlowOpened({ FlowId(1) }, agent.mNow);
  agent.Send(1, RequestClass::Submission, agent.Key());
  agent.Send(2, RequestClass::Submission, agent.Key());
  const auto effects =
    agent.mCore.OnConfig({ { .mDomainOut = true } }, agent.mNow);
  BOOST_TEST(Find<RespondOutcomeUnknown>(effects, 1));
  BOOST_TEST(Find<RespondOutcomeUnknown>(effects, 2));
  BOOST_TEST(Has<CloseFlow>(effects));
  BOOST_TEST(effects.size() == 4U);
  BOOST_TEST(Find<Reject>(agent.Send(3, RequestClass::Query), 3));
  agent.End(1, BackendOutcome::Broken);
  agent.mCore.OnConfig({ {} }, agent.mNow);
  BOOST_TEST(agent.mCore.Load(agent.mNow).mLimit == 1U);
}

// Guards against an agent that continues to serve after it was replaced during
// a pause.
BOOST_AUTO_TEST_CASE(PausedPastLeaseEnd_AcceptsNothing)
{
  WarmAgent agent;
  const ReceivedPacket initial{};
  const auto accept = HuntingDecision::Action::Accept;
  BOOST_TEST(
    (agent.mCore.OnReceivedPacket(initial, agent.mNow).mAction == accept));
  agent.mNow = kStart + 1h;
  BOOST_TEST(
    (agent.mCore.OnReceivedPacket(initial, agent.mNow).mAction != accept));
  BOOST_TEST(Find<Reject>(agent.Send(1, RequestClass::Query), 1));
}

// Guards against reusing a slot while the backend server may still process the
// request whose deadline has passed.
BOOST_AUTO_TEST_CASE(P3_DeadlineMissed_SlotIsHeldUntilTheStreamEnds)
{
  WarmAgent agent;
  agent.Send(1, RequestClass::Query, {}, 1s);
  agent.mNow += 1s;
  const auto effects = agent.mCore.OnTick({}, agent.mNow);
  BOOST_TEST(Find<RespondOutcomeUnknown>(effects, 1));
  BOOST_TEST(Find<Cancel>(effects, 1));
  BOOST_TEST(agent.mCore.Load(agent.mNow).mInFlight == 1U);
  BOOST_TEST(agent.End(1, BackendOutcome::Broken).empty());
  BOOST_TEST(agent.mCore.Load(agent.mNow).mInFlight == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
