#include "src/Quic/OutgoingBody.h"

#include <algorithm>

namespace snipepost {

size_t
OutgoingBody::Append(std::span<const uint8_t> aBytes, size_t aLimit)
{
  const size_t room = aLimit > mSize ? aLimit - mSize : 0;
  const size_t count = std::min(room, aBytes.size());
  if (count > 0) {
    mChunks.emplace_back(aBytes.begin(),
                         aBytes.begin() + static_cast<ptrdiff_t>(count));
    mSize += count;
  }
  return count;
}

nghttp3_ssize
OutgoingBody::Read(std::span<nghttp3_vec> aVectors, uint32_t& aFlags)
{
  size_t count = 0;
  while (count < aVectors.size() && mNext < mChunks.size()) {
    std::vector<uint8_t>& chunk = mChunks[mNext++];
    aVectors[count++] = { chunk.data(), chunk.size() };
  }
  const bool complete = mEnded && mNext == mChunks.size();
  if (complete) {
    aFlags |= NGHTTP3_DATA_FLAG_EOF;
  }
  if (count == 0 && !complete) {
    return NGHTTP3_ERR_WOULDBLOCK;
  }
  return static_cast<nghttp3_ssize>(count);
}

void
OutgoingBody::Acknowledge(uint64_t aCount)
{
  while (aCount > 0 && mNext > 0) {
    const size_t left = mChunks.front().size() - mAcknowledged;
    const size_t step = std::min<uint64_t>(left, aCount);
    aCount -= step;
    mSize -= step;
    mAcknowledged += step;
    if (mAcknowledged == mChunks.front().size()) {
      mChunks.pop_front();
      mAcknowledged = 0;
      --mNext;
    }
  }
}

} // namespace snipepost
