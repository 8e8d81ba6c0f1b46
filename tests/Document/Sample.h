#pragma once

#include <snipepost/Document/Document.h>
#include <snipepost/Document/Time.h>

namespace snipepost::sample {

/// A Friday, so that the next working day is a Monday.
inline const WallTime kNow = *ParseTime("2026-12-04T10:00:00Z");

/// Deployment of a sample customer: two services, three failure domains.
inline Document
Rekawica()
{
  Document document;
  document.mDeployment = "rekawica";
  document.mGeneration = Generation(7);
  document.mSubmission = SubmissionId("s-7");
  document.mChange = { "ewa", kNow, Generation(6), { "service added" } };
  Service desk;
  desk.mId = ServiceId(1);
  desk.mName = "sizing-desk";
  desk.mAddress = *ParseAddress("127.0.1.1:4433");
  desk.mMinEndpoints = 4;
  Service store;
  store.mId = ServiceId(2);
  store.mName = "pattern-store";
  store.mAddress = *ParseAddress("127.0.1.2:4433");
  store.mClass = ServiceClass::Bulk;
  store.mMinEndpoints = 2;
  document.mServices = { desk, store };
  for (uint8_t i = 1; i <= 3; ++i) {
    document.mDomains.push_back(
      { DomainId(i),
        std::string("pl-central-") + char('a' + i - 1),
        DomainState::In,
        "pl-central" });
  }
  return document;
}

} // namespace snipepost::sample
