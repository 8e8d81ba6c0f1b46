#pragma once

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include <nghttp3/nghttp3.h>

namespace snipepost {

/// The unacknowledged bytes of an outgoing body. nghttp3 keeps pointers to the
/// bytes, so they are not moved until they are acknowledged.
class OutgoingBody
{
public:
  /// Appends bytes until aLimit bytes are buffered. Returns how many bytes were
  /// accepted.
  size_t Append(std::span<const uint8_t> aBytes, size_t aLimit);

  /// Marks the end of the body.
  void End() { mEnded = true; }

  bool Ended() const { return mEnded; }

  /// Number of buffered bytes.
  size_t Size() const { return mSize; }

  /// Implements nghttp3_read_data_callback.
  nghttp3_ssize Read(std::span<nghttp3_vec> aVectors, uint32_t& aFlags);

  /// Releases the first aCount bytes.
  void Acknowledge(uint64_t aCount);

private:
  std::deque<std::vector<uint8_t>> mChunks;
  /// Index in mChunks of the first chunk that nghttp3 has not read.
  size_t mNext = 0;
  /// Number of acknowledged bytes of the first chunk.
  size_t mAcknowledged = 0;
  size_t mSize = 0;
  bool mEnded = false;
};

} // namespace snipepost
