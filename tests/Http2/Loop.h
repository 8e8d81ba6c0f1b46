#pragma once

#include <chrono>
#include <functional>

#include <asio.hpp>

#include <snipepost/Base/Address.h>

namespace snipepost {

constexpr Address kLoopbackAnyPort{ 0x7f000001, 0 };

/// Runs handlers until aCondition() is true. Returns false if it is not true
/// after 20 s, which happens only because of a fault.
inline bool
RunUntil(asio::io_context& aContext, const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!aCondition()) {
    aContext.restart();
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    aContext.run_one_for(std::chrono::milliseconds(100));
  }
  return true;
}

/// Runs handlers until none is ready.
inline void
RunReady(asio::io_context& aContext)
{
  aContext.restart();
  aContext.poll();
}

} // namespace snipepost
