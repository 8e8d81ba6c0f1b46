#include <boost/test/unit_test.hpp>

#include <algorithm>

#include <snipepost/Document/Validate.h>

#include "tests/Document/Sample.h"

using namespace snipepost;
using namespace std::chrono_literals;
using sample::kNow;

namespace {

constexpr DomainTarget kFirstDomain{ DomainId(1) };
constexpr DomainTarget kSecondDomain{ DomainId(2) };

/// Seven endpoints of sizing-desk and three of pattern-store, spread evenly
/// over the failure domains. The horizon is 09:00 UTC on the next Monday.
ValidationContext
Context()
{
  ValidationContext context{ kNow, kNow + 71h, {} };
  context.mEndpoints.emplace();
  for (uint16_t i = 0; i < 10; ++i) {
    const Address address{ 0x7f000201, static_cast<uint16_t>(9000 + i) };
    context.mEndpoints->push_back({ { ServiceId(i < 7 ? 1 : 2), address },
                                    DomainId(static_cast<uint8_t>(1 + i % 3)),
                                    4 });
  }
  return context;
}

std::string
TextAt(const std::vector<DocumentError>& aErrors, const std::string& aPointer)
{
  const auto found =
    std::ranges::find(aErrors, aPointer, &DocumentError::mPointer);
  return found == aErrors.end() ? "" : found->mText;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ValidateTest)

BOOST_AUTO_TEST_CASE(AcceptsSampleDocument)
{
  BOOST_TEST(Validate(sample::Rekawica(), Context()).empty());
}

BOOST_AUTO_TEST_CASE(ReportsEveryErrorInOneRun)
{
  Document document = sample::Rekawica();
  document.mDeployment = "no spaces";
  document.mServices[0].mSlots = 0;
  document.mServices[1].mId = ServiceId(1);
  document.mServices[1].mAddress = document.mServices[0].mAddress;
  document.mDomains[2].mName = document.mDomains[0].mName;
  document.mBackends = { { ServiceId(8), {}, BackendRuleState::Draining } };
  document.mPlanned = {
    { kNow, PlannedAction::Drain, kFirstDomain },
    { kNow, PlannedAction::DomainIn, kFirstDomain },
    { kNow, PlannedAction::DomainIn, DomainTarget{ DomainId(9) } }
  };
  const auto errors = Validate(document, Context());
  for (const char* pointer : { "/deployment",
                               "/services/0/slots",
                               "/services/1/id",
                               "/services/1/address",
                               "/failureDomains/2/name",
                               "/backends/0/service",
                               "/plannedChanges/0/target",
                               "/plannedChanges/1",
                               "/plannedChanges/2/target/domain" }) {
    BOOST_TEST(!TextAt(errors, pointer).empty(), pointer);
  }
}

// Guards against planned changes that leave too little capacity before
// operators are available again.
BOOST_AUTO_TEST_CASE(P1_PlannedDomainOut_RefusedWithNumbersUpToTheHorizon)
{
  Document document = sample::Rekawica();
  document.mPlanned = {
    { kNow + 20h, PlannedAction::DomainOut, kSecondDomain },
    { kNow + 10h, PlannedAction::DomainOut, kFirstDomain }
  };
  const auto errors = Validate(document, Context());
  BOOST_TEST(errors.size() == 2U);
  BOOST_TEST(TextAt(errors, "/plannedChanges/0") ==
             "service sizing-desk at 2026-12-05T06:00:00Z: 2 usable endpoints, "
             "minEndpoints is 4; capacity 8 slots (2 endpoints, 0 of them "
             "cold), needs 16 (minEndpoints 4 x slots 4)");
  auto shorter = Context();
  shorter.mHorizon = kNow + 19h;
  BOOST_TEST(Validate(document, shorter).empty());
}

// Guards against counting backend servers that have just become usable with
// their full capacity.
BOOST_AUTO_TEST_CASE(P3_ColdEndpoints_CountWithOneSlotDuringTheRamp)
{
  Document document = sample::Rekawica();
  document.mDomains[0].mState = DomainState::Out;
  document.mServices[1].mMinEndpoints = 0;
  document.mPlanned = {
    { kNow + 1h, PlannedAction::DomainIn, kFirstDomain },
    { kNow + 1h + 19s, PlannedAction::DomainOut, kSecondDomain }
  };
  const auto errors = Validate(document, Context());
  BOOST_TEST(
    TextAt(errors, "/plannedChanges/1") ==
    "service sizing-desk at 2026-12-04T11:00:19Z: capacity 11 slots "
    "(5 endpoints, 3 of them cold), needs 16 (minEndpoints 4 x slots 4)");
  document.mPlanned[1].mAt += 1s;
  BOOST_TEST(Validate(document, Context()).empty());
}

BOOST_AUTO_TEST_CASE(EndpointsWithFewerSlots_CountWithTheirOwn)
{
  auto context = Context();
  for (auto& endpoint : *context.mEndpoints) {
    endpoint.mSlots = 2;
  }
  const auto errors = Validate(sample::Rekawica(), context);
  BOOST_TEST(errors.size() == 2U);
  BOOST_TEST(!TextAt(errors, "/services/0/minEndpoints").empty());
}

BOOST_AUTO_TEST_CASE(NoEndpointList_RulesAndDomainsAreChecked)
{
  auto context = Context();
  context.mEndpoints.reset();
  Document document = sample::Rekawica();
  BOOST_TEST(Validate(document, context).empty());
  document.mServices[0].mAdmission = AdmissionMode::Manual;
  BOOST_TEST(Validate(document, context).size() == 1U);
  for (auto& domain : document.mDomains) {
    domain.mState = DomainState::Out;
  }
  BOOST_TEST(Validate(document, context).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
