#pragma once

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include <nghttp3/nghttp3.h>

namespace snipepost {

/// The bytes of one outgoing body that have not been acknowledged. nghttp3
/// refers to them in place, so they stay where they are until then.
class OutgoingBody
{
public:
  /// Appends bytes until aLimit bytes are held. Returns how many were taken.
  size_t Append(std::span<const uint8_t> aBytes, size_t aLimit);

  /// No bytes follow.
  void End() { mEnded = true; }

  bool Ended() const { return mEnded; }

  /// Bytes held.
  size_t Size() const { return mSize; }

  /// Implements nghttp3_read_data_callback.
  nghttp3_ssize Read(std::span<nghttp3_vec> aVectors, uint32_t& aFlags);

  /// Releases the first aCount bytes.
  void Acknowledge(uint64_t aCount);

private:
  std::deque<std::vector<uint8_t>> mChunks;
  /// Index in mChunks of the first chunk that nghttp3 has not read.
  size_t mNext = 0;
  /// Bytes of the first chunk that are acknowledged.
  size_t mAcknowledged = 0;
  size_t mSize = 0;
  bool mEnded = false;
};

} // namespace snipepost
