#include <boost/test/unit_test.hpp>

#include <snipepost/Flow/AdmissionGate.h>

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;

namespace {

AdmissionInputs
AcceptingInputs()
{
  AdmissionInputs inputs;
  inputs.mReady = true;
  inputs.mServiceMatches = true;
  inputs.mSlots = 4;
  inputs.mMaxFlows = 100;
  inputs.mServiceTime = 25ms;
  inputs.mObjective = 150ms;
  inputs.mTimeout = 2s;
  return inputs;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionGateTest)

BOOST_AUTO_TEST_CASE(EachRuleAloneRefuses)
{
  struct Case
  {
    Refusal mExpected;
    void (*mChange)(AdmissionInputs&);
  };
  const Case cases[] = {
    { Refusal::None, [](AdmissionInputs&) {} },
    { Refusal::WrongService,
      [](AdmissionInputs& aIn) { aIn.mServiceMatches = false; } },
    { Refusal::NotReady, [](AdmissionInputs& aIn) { aIn.mReady = false; } },
    { Refusal::Evacuated, [](AdmissionInputs& aIn) { aIn.mEvacuated = true; } },
    { Refusal::Draining, [](AdmissionInputs& aIn) { aIn.mDraining = true; } },
    { Refusal::Silent, [](AdmissionInputs& aIn) { aIn.mUnresponsive = true; } },
    { Refusal::Cold, [](AdmissionInputs& aIn) { aIn.mCold = true; } },
    { Refusal::Full, [](AdmissionInputs& aIn) { aIn.mFlows = 100; } },
    { Refusal::Full, [](AdmissionInputs& aIn) { aIn.mLoad = 30; } },
  };
  for (const Case& test : cases) {
    AdmissionInputs inputs = AcceptingInputs();
    test.mChange(inputs);
    BOOST_TEST_CONTEXT(ToString(test.mExpected))
    {
      BOOST_TEST((Admit(inputs) == test.mExpected));
    }
  }
}

BOOST_AUTO_TEST_CASE(ColdServerAcceptsUpToItsBudget)
{
  AdmissionInputs inputs = AcceptingInputs();
  inputs.mCold = true;
  inputs.mColdBudget = 1;
  BOOST_TEST((Admit(inputs) == Refusal::None));
}

// With all slots in use, an early offer is refused, because another server may
// have a free slot.
BOOST_AUTO_TEST_CASE(EarlyOfferNeedsAFreeSlot)
{
  AdmissionInputs inputs = AcceptingInputs();
  inputs.mMark = TransitMark::OfferIfFree;
  inputs.mLoad = 3;
  BOOST_TEST((Admit(inputs) == Refusal::None));
  inputs.mLoad = 4;
  BOOST_TEST((Admit(inputs) == Refusal::Busy));
  inputs.mMark = TransitMark::OfferFinal;
  BOOST_TEST((Admit(inputs) == Refusal::None));
}

// During overload, such as three times the capacity, a request that can't be
// served in time is refused at once. Unsafe requests, which can't be retried,
// have reserved queue positions.
BOOST_AUTO_TEST_CASE(FinalOfferIsLimitedByTheExpectedWait)
{
  AdmissionInputs inputs = AcceptingInputs();
  inputs.mServiceTime = 40ms;
  inputs.mLoad = 11; // A wait of 80 ms.
  BOOST_TEST((Admit(inputs) == Refusal::Full));
  inputs.mKind = cluster::RequestKind::Unsafe;
  BOOST_TEST((Admit(inputs) == Refusal::None));
  inputs = AcceptingInputs();
  inputs.mLoad = 16;
  BOOST_TEST((Admit(inputs) == Refusal::Full));
  inputs.mKind = cluster::RequestKind::Unsafe;
  BOOST_TEST((Admit(inputs) == Refusal::None));
  inputs.mLoad = 20;
  BOOST_TEST((Admit(inputs) == Refusal::Full));
}

// After an outage the callers' SYN retransmissions arrive in one load spike.
// They are late already and must leave room for requests that can still be
// served in time.
BOOST_AUTO_TEST_CASE(RetransmissionsWaitLessThanNewRequests)
{
  AdmissionInputs inputs = AcceptingInputs();
  inputs.mLoad = 10; // A wait of 44 ms.
  BOOST_TEST((Admit(inputs) == Refusal::None));
  inputs.mRetransmission = true;
  BOOST_TEST((Admit(inputs) == Refusal::Full));
  inputs.mLoad = 4;
  BOOST_TEST((Admit(inputs) == Refusal::None));
}

BOOST_AUTO_TEST_CASE(TimeToFreeSlotGrowsWithTheQueue)
{
  BOOST_TEST((TimeToFreeSlot(3, 4, 20ms) == 0ms));
  BOOST_TEST((TimeToFreeSlot(4, 4, 20ms) == 5ms));
  BOOST_TEST((TimeToFreeSlot(11, 4, 20ms) == 40ms));
}

BOOST_AUTO_TEST_SUITE_END()
