#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>

#include <snipepost/Base/Types.h>

namespace snipepost::flow {

/// When callers send the copies of a SYN. A copy is identified by its number in
/// the SYN (Packet::mAcknowledgement); 0 is the first one.
struct SynSchedule
{
  /// Time from the first copy to each one, by number.
  static constexpr std::array<Duration, 3> kSendTimes = {
    std::chrono::milliseconds(0),
    std::chrono::milliseconds(200),
    std::chrono::milliseconds(600),
  };

  /// Number of the last copy.
  static constexpr uint32_t kLastCopy = kSendTimes.size() - 1;

  /// Time from the first copy after which a caller abandons the attempt.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(1400);

  /// Time from the first copy to copy aCopy. Numbers above kLastCopy, which no
  /// caller sends, count as kLastCopy.
  static constexpr Duration TimeOf(uint32_t aCopy)
  {
    return kSendTimes[std::min(aCopy, kLastCopy)];
  }
};

} // namespace snipepost::flow
