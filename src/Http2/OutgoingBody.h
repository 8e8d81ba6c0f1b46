#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <nghttp2/nghttp2.h>

namespace snipepost::http2 {

/// Buffers body bytes until the peer's flow control window admits them.
class OutgoingBody
{
public:
  /// Size above which Append() reports that the buffer is full. It equals the
  /// largest write of a connection, so a full buffer keeps the socket busy.
  static constexpr size_t kHighWater = 64UL * 1024;
  static constexpr size_t kLowWater = kHighWater / 2;

  /// Adds bytes. Returns false when the buffer is full afterwards.
  bool Append(std::string_view aBytes);

  void End() { mEnded = true; }
  bool Ended() const { return mEnded; }

  /// True when the body has ended and all its bytes were read.
  bool Drained() const { return mEnded && Size() == 0; }

  size_t Size() const { return mBuffer.size() - mOffset; }

  /// Copies up to aLength bytes for nghttp2; returns their number or
  /// NGHTTP2_ERR_DEFERRED when there are none yet.
  ssize_t Read(uint8_t* aTarget, size_t aLength, uint32_t* aFlags);

  /// True once after Append() returned false and the buffer has room again.
  bool TakeWritable();

  /// True once after Read() returned NGHTTP2_ERR_DEFERRED.
  bool TakeDeferred();

private:
  std::string mBuffer;
  size_t mOffset = 0;
  bool mEnded = false;
  bool mDeferred = false;
  bool mFull = false;
};

} // namespace snipepost::http2
