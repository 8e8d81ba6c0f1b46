#include "src/FlowDaemon/ListenerCheck.h"

#include <utility>

#include <snipepost/Base/Types.h>
#include <snipepost/Net/DatagramSocket.h>

namespace snipepost {

namespace {

/// A process on the same machine accepts or refuses a connection at once.
constexpr Duration kTimeout = std::chrono::milliseconds(100);

} // namespace

ListenerCheck::ListenerCheck(asio::io_context& aContext,
                             const Address& aAddress)
  : mEndpoint(ToTcp(aAddress))
  , mSocket(aContext)
  , mTimer(aContext)
{
}

void
ListenerCheck::Start(std::function<void(Result)> aDone)
{
  mDone = std::move(aDone);
  mTimer.expires_after(kTimeout);
  mTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Finish(Result::Unknown);
    }
  });
  mSocket.async_connect(mEndpoint, [this](const asio::error_code& aError) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (aError == asio::error::connection_refused) {
      Finish(Result::Refused);
      return;
    }
    Finish(aError ? Result::Unknown : Result::Listening);
  });
}

void
ListenerCheck::Finish(Result aResult)
{
  if (!mDone) {
    return;
  }
  mTimer.cancel();
  asio::error_code ignored;
  mSocket.close(ignored);
  std::exchange(mDone, nullptr)(aResult);
}

} // namespace snipepost
