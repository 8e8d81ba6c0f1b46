#pragma once

#include <functional>
#include <optional>

#include <asio.hpp>

#include <snipepost/Base/Types.h>

namespace snipepost {

/// Runs a callback at approximate deadlines. Setting a timer is a system call
/// and each expiry a wake-up, so an armed timer is kept for later deadlines,
/// and deadlines that are close together share an expiry.
class DeadlineTimer
{
public:
  /// The callback may be late by this much; the shortest delay until a deadline
  /// is 12 ms.
  static constexpr Duration kSlack = std::chrono::milliseconds(2);

  DeadlineTimer(asio::io_context& aContext, std::function<void()> aCallback)
    : mTimer(aContext)
    , mCallback(std::move(aCallback))
  {
  }

  /// Schedules the callback for aDeadline, if there is one.
  void Arm(std::optional<Instant> aDeadline, Instant aNow)
  {
    if (!aDeadline || (mArmedFor && *mArmedFor <= *aDeadline + kSlack)) {
      return;
    }
    mArmedFor = std::max(*aDeadline, aNow) + kSlack;
    mTimer.expires_after(*mArmedFor - aNow);
    mTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        mArmedFor.reset();
        mCallback();
      }
    });
  }

private:
  asio::steady_timer mTimer;
  std::function<void()> mCallback;
  std::optional<Instant> mArmedFor;
};

} // namespace snipepost
