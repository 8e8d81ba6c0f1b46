#include <boost/test/unit_test.hpp>

#include <snipepost/Document/Diff.h>
#include <snipepost/Document/Edit.h>
#include <snipepost/Document/Effective.h>

#include "tests/Document/Sample.h"

using namespace snipepost;
using sample::kNow;

namespace {

const Address kBackend = *ParseAddress("127.0.2.1:9000");

Document
Edited(const Document& aDocument, const Edit& aEdit, WallTime aNow = kNow)
{
  const auto result = ApplyEdit(aDocument, aEdit, aNow);
  BOOST_REQUIRE(result.mValue);
  return *result.mValue;
}

bool
Rejects(const Document& aDocument, const Edit& aEdit)
{
  const auto result = ApplyEdit(aDocument, aEdit, kNow);
  return !result.mValue && !result.mErrors.empty();
}

} // namespace

BOOST_AUTO_TEST_SUITE(EditTest)

BOOST_AUTO_TEST_CASE(DiffShowsEdits)
{
  const Document before = sample::Rekawica();
  Document after =
    Edited(before, SetService{ "sizing-desk", { { "minEndpoints", "5" } } });
  after = Edited(after, SetDomain{ "pl-central-b", DomainState::Out });
  after =
    Edited(after, AddService{ "archive", { { "address", "127.0.1.3:4433" } } });
  BOOST_TEST(after.mServices.back().mId.Value() == 3);
  after = Edited(after, RemoveService{ "pattern-store" });
  const auto lines = Diff(before, after);
  BOOST_REQUIRE(lines.size() == 4U);
  BOOST_TEST(lines[0] ==
             "failure domain pl-central-b: state \"in\" -> \"out\"");
  BOOST_TEST(lines[1] == "service sizing-desk: minEndpoints 4 -> 5");
  BOOST_TEST(lines[2].starts_with("service pattern-store: removed"));
  BOOST_TEST(lines[3].starts_with("service archive: added"));
}

BOOST_AUTO_TEST_CASE(InapplicableEditsAreRejected)
{
  const Document document = sample::Rekawica();
  BOOST_TEST(Rejects(document, AddService{ "sizing-desk", {} }));
  BOOST_TEST(Rejects(document, AddService{ "x", { { "address", "x" } } }));
  BOOST_TEST(Rejects(document, RemoveService{ "x" }));
  BOOST_TEST(Rejects(document, SetService{ "sizing-desk", { { "id", "9" } } }));
  BOOST_TEST(
    Rejects(document, SetService{ "sizing-desk", { { "colour", "9" } } }));
  BOOST_TEST(Rejects(document, SetDomain{ "x", DomainState::Out }));
  BOOST_TEST(Rejects(document, SetBackend{ "x", kBackend }));
  const PlannedChangeText change{ kNow, PlannedAction::Drain, "pl-central-a" };
  BOOST_TEST(Rejects(document, AddPlannedChange{ change }));
  BOOST_TEST(Rejects(document, RemovePlannedChange{ change }));
}

// Guards against references to a removed service, which would make the document
// invalid.
BOOST_AUTO_TEST_CASE(RemovingAServiceRemovesItsRulesAndPlannedChanges)
{
  Document document = sample::Rekawica();
  document =
    Edited(document,
           SetBackend{ "sizing-desk", kBackend, BackendRuleState::Draining });
  const PlannedChangeText change{ kNow + std::chrono::hours(1),
                                  PlannedAction::Admit,
                                  "sizing-desk/127.0.2.1:9000" };
  document = Edited(document, AddPlannedChange{ change });
  document = Edited(document, RemoveService{ "sizing-desk" });
  BOOST_TEST(document.mBackends.empty());
  BOOST_TEST(document.mPlanned.empty());
}

// Guards against a planned domainOut that overrides a later "domain in".
BOOST_AUTO_TEST_CASE(P4_PlannedChangeDue_ALaterEditWins)
{
  Document document = sample::Rekawica();
  const PlannedChangeText change{ kNow + std::chrono::hours(1),
                                  PlannedAction::DomainOut,
                                  "pl-central-a" };
  document = Edited(document, AddPlannedChange{ change });
  const DomainId domain(1);
  const auto later = kNow + std::chrono::hours(2);
  BOOST_TEST(EffectiveAt(document, kNow).IsInService(domain));
  BOOST_TEST((NextChangeAfter(document, kNow) == change.mAt));
  BOOST_TEST(!EffectiveAt(document, later).IsInService(domain));
  document =
    Edited(document, SetDomain{ "pl-central-a", DomainState::In }, later);
  BOOST_TEST(EffectiveAt(document, later).IsInService(domain));
  BOOST_TEST(document.mPlanned.empty());
}

// Guards against a backend server that receives load before an operator admits
// it, and against traffic to a failure domain that the document does not
// define.
BOOST_AUTO_TEST_CASE(P3_UnknownBackend_WaitsWhenAdmissionIsManual)
{
  Document document = sample::Rekawica();
  const BackendTarget target{ ServiceId(1), kBackend };
  const auto admission = [&] {
    return EffectiveAt(document, kNow).AdmissionStateOf(target);
  };
  BOOST_TEST((admission() == AdmissionState::Admitted));
  document.mServices[0].mAdmission = AdmissionMode::Manual;
  BOOST_TEST((admission() == AdmissionState::Waiting));
  document = Edited(document, SetBackend{ "sizing-desk", kBackend });
  BOOST_TEST((admission() == AdmissionState::Admitted));
  BOOST_TEST(!EffectiveAt(document, kNow).IsInService(DomainId(9)));
}

BOOST_AUTO_TEST_SUITE_END()
