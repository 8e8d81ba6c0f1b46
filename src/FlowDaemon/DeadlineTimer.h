#pragma once

#include <functional>
#include <optional>

#include <asio.hpp>

#include <snipepost/Base/Types.h>

namespace snipepost {

/// Calls back at about the deadlines that it is given. Setting a timer is a
/// system call and each expiry a wake-up, so an armed timer is kept for later
/// deadlines, and close ones share an expiry.
class DeadlineTimer
{
public:
  /// Deadlines are met up to this much late; the shortest is 12 ms.
  static constexpr Duration kSlack = std::chrono::milliseconds(2);

  DeadlineTimer(asio::io_context& aContext, std::function<void()> aCallback)
    : mTimer(aContext)
    , mCallback(std::move(aCallback))
  {
  }

  /// Makes sure that the callback comes by aDeadline, if there is one.
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
