#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <span>

namespace snipepost {

/// Reads unsigned integers in network byte order from a buffer. Reading past
/// the end returns 0 and makes Ok() false, so that one check at the end of
/// parsing is enough.
class ByteReader
{
public:
  explicit ByteReader(std::span<const uint8_t> aBytes)
    : mBytes(aBytes)
  {
  }

  uint8_t U8() { return static_cast<uint8_t>(Read<1>()); }
  uint16_t U16() { return static_cast<uint16_t>(Read<2>()); }
  uint32_t U32() { return static_cast<uint32_t>(Read<4>()); }
  uint64_t U64() { return Read<8>(); }

  /// Returns the next aCount bytes, or an empty span when there are fewer.
  std::span<const uint8_t> Take(size_t aCount)
  {
    if (aCount > mBytes.size()) {
      Fail();
      return {};
    }
    auto taken = mBytes.first(aCount);
    mBytes = mBytes.subspan(aCount);
    return taken;
  }

  /// The bytes that have not been read.
  std::span<const uint8_t> Rest() const { return mBytes; }

  bool Ok() const { return mOk; }

private:
  template<size_t N>
  uint64_t Read()
  {
    auto bytes = Take(N);
    uint64_t value = 0;
    for (uint8_t byte : bytes) {
      value = (value << 8) | byte;
    }
    return value;
  }

  void Fail()
  {
    mOk = false;
    mBytes = {};
  }

  std::span<const uint8_t> mBytes;
  bool mOk = true;
};

/// Writes unsigned integers in network byte order into a buffer. Writing past
/// the end writes nothing and makes Ok() false.
class ByteWriter
{
public:
  explicit ByteWriter(std::span<uint8_t> aBytes)
    : mBytes(aBytes)
  {
  }

  void U8(uint8_t aValue) { Write<1>(aValue); }
  void U16(uint16_t aValue) { Write<2>(aValue); }
  void U32(uint32_t aValue) { Write<4>(aValue); }
  void U64(uint64_t aValue) { Write<8>(aValue); }

  void Copy(std::span<const uint8_t> aData)
  {
    if (!Reserve(aData.size()) || aData.empty()) {
      return;
    }
    std::memcpy(mBytes.data() + mUsed, aData.data(), aData.size());
    mUsed += aData.size();
  }

  /// Number of bytes written so far.
  size_t Used() const { return mUsed; }

  bool Ok() const { return mOk; }

private:
  template<size_t N>
  void Write(uint64_t aValue)
  {
    if (!Reserve(N)) {
      return;
    }
    for (size_t i = 0; i < N; ++i) {
      mBytes[mUsed + i] = static_cast<uint8_t>(aValue >> (8 * (N - 1 - i)));
    }
    mUsed += N;
  }

  bool Reserve(size_t aCount)
  {
    mOk = mOk && mUsed + aCount <= mBytes.size();
    return mOk;
  }

  std::span<uint8_t> mBytes;
  size_t mUsed = 0;
  bool mOk = true;
};

} // namespace snipepost
