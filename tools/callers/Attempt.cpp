#include "tools/callers/Attempt.h"

#include <algorithm>
#include <array>

#include "tools/callers/Caller.h"
#include "tools/common/BulkBytes.h"

namespace snipepost::tools {

HttpFields
MakeFields(const Request& aRequest, Instant aNow)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aRequest.mDeadline - aNow);
  HttpFields fields{ { ":method", aRequest.mMethod },
                     { ":scheme", "https" },
                     { ":authority", "snipepost" },
                     { ":path", aRequest.mPath },
                     { "request-id", std::to_string(aRequest.mId) },
                     { "deadline-ms",
                       std::to_string(std::max<int64_t>(left.count(), 1)) } };
  if (!aRequest.mKey.empty()) {
    fields.push_back({ "idempotency-key", aRequest.mKey });
  }
  return fields;
}

Attempt::Attempt(Caller& aCaller, RequestPtr aRequest)
  : mCaller(aCaller)
  , mRequest(std::move(aRequest))
{
}

bool
Attempt::VerifiesBody() const
{
  return mRequest->mClass == RequestClass::Bulk && mStatus == "200";
}

void
Attempt::OnHeaders(const HttpFields& aFields)
{
  mStatus = FieldValue(aFields, ":status");
  mOutcomeUnknown =
    FieldValue(aFields, "proxy-status").find("outcome unknown") !=
    std::string_view::npos;
  // A request-id in the response must be that of this request.
  const std::string_view id = FieldValue(aFields, "request-id");
  mMismatch = !id.empty() && id != std::to_string(mRequest->mId);
}

void
Attempt::OnBody(std::span<const uint8_t> aBytes)
{
  if (VerifiesBody()) {
    std::array<uint8_t, 4096> expected;
    for (size_t at = 0; at < aBytes.size();) {
      const size_t count = std::min(expected.size(), aBytes.size() - at);
      FillBulkBytes(mRequest->mBulkSeed,
                    mBytesReceived + at,
                    std::span(expected).first(count));
      mMismatch |= !std::equal(expected.begin(),
                               expected.begin() + static_cast<ptrdiff_t>(count),
                               aBytes.begin() + static_cast<ptrdiff_t>(at));
      at += count;
    }
  }
  mBytesReceived += aBytes.size();
}

Result
Attempt::ClassifyResponse() const
{
  if (mStatus == "502" && mOutcomeUnknown) {
    return Result::Unknown;
  }
  if (mStatus != "200") {
    return Result::OtherStatus;
  }
  const bool incomplete = mRequest->mClass == RequestClass::Bulk &&
                          mBytesReceived != mRequest->mBulkBytes;
  return mMismatch || incomplete ? Result::Wrong : Result::Ok;
}

void
Attempt::OnEnd()
{
  mEnded = true;
  mCaller.Generator().Finish(mRequest, ClassifyResponse());
}

void
Attempt::OnRejected()
{
  mEnded = true;
  mCaller.OnAttemptRejected(mRequest);
}

void
Attempt::OnBroken()
{
  mEnded = true;
  mCaller.OnAttemptBroken(mRequest);
}

} // namespace snipepost::tools
