#pragma once

#include "tools/callers/Flow.h"
#include "tools/callers/Run.h"

namespace snipepost::tools {

class Caller;

/// One attempt at a request on one flow; checks the response.
class Attempt : public Exchange
{
public:
  Attempt(Caller& aCaller, RequestPtr aRequest);

  void OnHeaders(const HttpFields& aFields) override;
  void OnBody(std::span<const uint8_t> aBytes) override;
  void OnEnd() override;
  void OnRejected() override;
  void OnBroken() override;

  /// The flow has reported the end of this attempt.
  bool IsOver() const { return mOver; }

private:
  bool ChecksBytes() const;
  Result Judge() const;

  Caller& mCaller;
  RequestPtr mRequest;
  std::string mStatus;
  uint64_t mReceived = 0;
  bool mUnknown = false;
  bool mWrong = false;
  bool mOver = false;
};

/// Fields of the request for one attempt, with the remaining time.
HttpFields
MakeFields(const Request& aRequest, Instant aNow);

} // namespace snipepost::tools
