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
Attempt::ChecksBytes() const
{
  return mRequest->mClass == RequestClass::Bulk && mStatus == "200";
}

void
Attempt::OnHeaders(const HttpFields& aFields)
{
  mStatus = FieldValue(aFields, ":status");
  mUnknown = FieldValue(aFields, "proxy-status").find("outcome unknown") !=
             std::string_view::npos;
  // A response that names its request must name this one.
  const std::string_view id = FieldValue(aFields, "request-id");
  mWrong = !id.empty() && id != std::to_string(mRequest->mId);
}

void
Attempt::OnBody(std::span<const uint8_t> aBytes)
{
  if (ChecksBytes()) {
    std::array<uint8_t, 4096> expected;
    for (size_t at = 0; at < aBytes.size();) {
      const size_t count = std::min(expected.size(), aBytes.size() - at);
      FillBulkBytes(
        mRequest->mBulkSeed, mReceived + at, std::span(expected).first(count));
      mWrong |= !std::equal(expected.begin(),
                            expected.begin() + static_cast<ptrdiff_t>(count),
                            aBytes.begin() + static_cast<ptrdiff_t>(at));
      at += count;
    }
  }
  mReceived += aBytes.size();
}

Result
Attempt::Judge() const
{
  if (mStatus == "502" && mUnknown) {
    return Result::Unknown;
  }
  if (mStatus != "200") {
    return Result::OtherStatus;
  }
  const bool incomplete =
    mRequest->mClass == RequestClass::Bulk && mReceived != mRequest->mBulkBytes;
  return mWrong || incomplete ? Result::Wrong : Result::Ok;
}

void
Attempt::OnEnd()
{
  mOver = true;
  mCaller.Owner().Finish(mRequest, Judge());
}

void
Attempt::OnRejected()
{
  mOver = true;
  mCaller.OnAttemptRejected(mRequest);
}

void
Attempt::OnBroken()
{
  mOver = true;
  mCaller.OnAttemptBroken(mRequest);
}

} // namespace snipepost::tools
