#pragma once

#include "tools/callers/Flow.h"
#include "tools/callers/LoadGenerator.h"

namespace snipepost::tools {

class Caller;

/// One attempt at a request on one flow. Verifies the response.
class Attempt : public ResponseEvents
{
public:
  Attempt(Caller& aCaller, RequestPtr aRequest);

  void OnHeaders(const HttpFields& aFields) override;
  void OnBody(std::span<const uint8_t> aBytes) override;
  void OnEnd() override;
  void OnRejected() override;
  void OnBroken() override;

  /// True once the flow has reported the end of this attempt.
  bool HasEnded() const { return mEnded; }

private:
  bool VerifiesBody() const;
  Result ClassifyResponse() const;

  Caller& mCaller;
  RequestPtr mRequest;
  std::string mStatus;
  uint64_t mBytesReceived = 0;
  bool mOutcomeUnknown = false;
  bool mMismatch = false;
  bool mEnded = false;
};

/// Header fields of one attempt; deadline-ms is the remaining time.
HttpFields
MakeFields(const Request& aRequest, Instant aNow);

} // namespace snipepost::tools
