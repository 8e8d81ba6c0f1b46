#include "OutgoingBody.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace snipepost::http2 {

bool
OutgoingBody::Append(std::string_view aBytes)
{
  if (mEnded) {
    return true;
  }
  if (mOffset > mBuffer.size() / 2) {
    mBuffer.erase(0, mOffset);
    mOffset = 0;
  }
  mBuffer.append(aBytes);
  mFull = mFull || Size() > kHighWater;
  return !mFull;
}

ssize_t
OutgoingBody::Read(uint8_t* aTarget, size_t aLength, uint32_t* aFlags)
{
  const size_t count = std::min(aLength, Size());
  if (count == 0 && !mEnded) {
    mDeferred = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  if (count > 0) {
    std::memcpy(aTarget, mBuffer.data() + mOffset, count);
    mOffset += count;
  }
  if (Drained()) {
    *aFlags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(count);
}

bool
OutgoingBody::TakeWritable()
{
  if (!mFull || Size() > kLowWater) {
    return false;
  }
  mFull = false;
  return true;
}

bool
OutgoingBody::TakeDeferred()
{
  return std::exchange(mDeferred, false);
}

} // namespace snipepost::http2
