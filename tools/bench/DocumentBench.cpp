#include "tools/bench/Modes.h"

#include <array>
#include <string>

#include <snipepost/Document/Codec.h>
#include <snipepost/Document/Document.h>

#include "tools/bench/Timing.h"

namespace snipepost::bench {

namespace {

constexpr std::array<size_t, 4> kServiceCounts{ 10, 100, 500, 970 };
constexpr size_t kDomains = 5;

/// A document with a rule for one endpoint of each service.
Document
MakeDocument(size_t aServices)
{
  Document document;
  document.mDeployment = "two-years";
  document.mGeneration = Generation(490000);
  document.mSubmission = SubmissionId("0123456789abcdef0123456789abcdef");
  for (size_t i = 0; i < kDomains; ++i) {
    FailureDomain domain;
    domain.mId = DomainId(static_cast<uint8_t>(i + 1));
    domain.mName = "domain-" + std::to_string(i);
    domain.mRegion = i < 3 ? "pl-central" : "ie-west";
    document.mDomains.push_back(domain);
  }
  for (size_t i = 0; i < aServices; ++i) {
    const auto number = static_cast<uint16_t>(i + 1);
    Service service;
    service.mId = ServiceId(number);
    service.mName = "sizing-desk-" + std::to_string(i);
    service.mAddress = { 0x7f010000U + number, 443 };
    document.mServices.push_back(service);
    BackendRule rule;
    rule.mService = service.mId;
    rule.mAddress = { 0x0a000000U + number, 7000 };
    document.mBackends.push_back(rule);
  }
  return document;
}

} // namespace

void
RunDocument(Report& aReport)
{
  constexpr double kNsPerUs = 1e3;
  aReport.StartTable("document",
                     { "services", "bytes", "write us", "parse us" });
  for (size_t count : kServiceCounts) {
    const Document document = MakeDocument(count);
    std::string text;
    const auto write =
      TimeBatches(20, 1, [&](size_t) { text = WriteDocument(document); });
    const auto parse =
      TimeBatches(20, 1, [&](size_t) { (void)ParseDocument(text); });
    aReport.AddRow({ static_cast<double>(count),
                     static_cast<double>(text.size()),
                     write.mMedian / kNsPerUs,
                     parse.mMedian / kNsPerUs });
  }
}

} // namespace snipepost::bench
