#include <boost/test/unit_test.hpp>

#include <chrono>
#include <iostream>
#include <sstream>

#include <rapidcheck.h>

#include <snipepost/Base/Random.h>
#include <snipepost/Document/Codec.h>
#include <snipepost/Document/Diff.h>
#include <snipepost/Document/Effective.h>
#include <snipepost/Document/Validate.h>

#include "tests/Document/Sample.h"

using namespace snipepost;

namespace {

constexpr uint64_t kSeed = 20261204;

Address
RandomAddress(Random& aRandom)
{
  return { static_cast<uint32_t>(aRandom.Below(1ULL << 32)),
           static_cast<uint16_t>(1 + aRandom.Below(65535)) };
}

/// Returns a well-formed document with names and numbers derived from the seed.
Document
RandomDocument(uint64_t aSeed)
{
  Random random(aSeed);
  Document document = sample::Rekawica();
  document.mGeneration = Generation(random.Below(~0ULL));
  document.mChange.mBy = "\"\\/\t\xc5\xbc " + std::to_string(aSeed);
  for (uint64_t i = random.Below(5); i > 0; --i) {
    Service service;
    service.mId = ServiceId(static_cast<uint16_t>(random.Below(65536)));
    service.mName = "service-" + std::to_string(random.Below(1000));
    service.mAddress = RandomAddress(random);
    service.mSlots = static_cast<uint32_t>(random.Below(1ULL << 32));
    service.mRamp = std::chrono::seconds(random.Below(1000));
    service.mAdmission =
      random.Chance(0.5) ? AdmissionMode::Manual : AdmissionMode::Automatic;
    document.mServices.push_back(service);
  }
  for (uint64_t i = random.Below(5); i > 0; --i) {
    const BackendTarget target{ ServiceId(1), RandomAddress(random) };
    document.mBackends.push_back(
      { target.mService, target.mAddress, BackendRuleState::Draining });
    document.mPlanned.push_back(
      { sample::kNow + std::chrono::seconds(random.Below(100000)),
        PlannedAction::Admit,
        target });
    document.mPlanned.push_back(
      { sample::kNow,
        PlannedAction::DomainOut,
        DomainTarget{ DomainId(static_cast<uint8_t>(random.Below(256))) } });
  }
  return document;
}

template<typename Property>
void
Check(const char* aName, Property aProperty)
{
  std::cout << aName << " seed=" << kSeed << '\n';
  rc::detail::TestParams params;
  params.seed = kSeed;
  params.maxSuccess = 400;
  rc::detail::TestMetadata metadata;
  metadata.id = aName;
  const auto result = rc::detail::checkTestable(aProperty, metadata, params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  BOOST_TEST(result.template is<rc::detail::SuccessResult>(), text.str());
}

} // namespace

BOOST_AUTO_TEST_SUITE(CodecPropertyTest)

BOOST_AUTO_TEST_CASE(WrittenDocumentsParseToTheSameDocument)
{
  Check("round trip", [](uint64_t aSeed) {
    const Document document = RandomDocument(aSeed);
    const auto parsed = ParseDocument(WriteDocument(document));
    RC_ASSERT(parsed.mErrors.empty());
    RC_ASSERT(*parsed.mValue == document);
  });
}

// Guards against crashes on corrupted text and against returning a value
// together with errors.
BOOST_AUTO_TEST_CASE(P10_MutatedText_YieldsADocumentOrErrorsNeverBoth)
{
  Check("mutation", [](uint64_t aSeed) {
    std::string text = WriteDocument(RandomDocument(aSeed));
    Random random(aSeed);
    for (uint64_t i = 1 + random.Below(4); i > 0; --i) {
      const size_t at = random.Below(text.size());
      const size_t length = random.Below(20);
      if (random.Chance(0.3)) {
        text.erase(at, length);
      } else if (random.Chance(0.5)) {
        text.insert(at, text.substr(random.Below(text.size()), length));
      } else {
        text[at] = static_cast<char>(random.Below(256));
      }
      if (text.empty()) {
        break;
      }
    }
    const auto parsed = ParseDocument(text);
    RC_ASSERT(parsed.mValue.has_value() == parsed.mErrors.empty());
    if (parsed.mValue) {
      const ValidationContext context{ sample::kNow,
                                       sample::kNow + std::chrono::days(1),
                                       std::nullopt };
      Validate(*parsed.mValue, context);
      RC_ASSERT(*ParseDocument(WriteDocument(*parsed.mValue)).mValue ==
                *parsed.mValue);
    }
  });
}

// Guards against planned changes that have another effect once
// WithDueChangesApplied() has replaced them by states and rules.
BOOST_AUTO_TEST_CASE(P10_PlannedChangeDue_ApplyingKeepsTheEffectiveState)
{
  Check("due changes", [](uint64_t aSeed) {
    const Document document = RandomDocument(aSeed);
    Random random(aSeed);
    const auto now = sample::kNow + std::chrono::seconds(random.Below(100000));
    const Document applied = WithDueChangesApplied(document, now);
    RC_ASSERT(EffectiveAt(applied, now) == EffectiveAt(document, now));
    const auto later = now + std::chrono::hours(48);
    RC_ASSERT(EffectiveAt(applied, later) == EffectiveAt(document, later));
    RC_ASSERT(Diff(document, document).empty());
  });
}

BOOST_AUTO_TEST_SUITE_END()
