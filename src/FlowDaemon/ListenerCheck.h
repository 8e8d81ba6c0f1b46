#pragma once

#include <functional>

#include <asio.hpp>

#include <snipepost/Base/Address.h>

namespace snipepost {

/// Finds out whether a process listens at an address, by a TCP connection that
/// is closed at once. A refused connection proves that no process does; without
/// a response nothing is known, as a process may be stopped or overloaded.
class ListenerCheck
{
public:
  enum class Result
  {
    Listening,
    Refused,
    Unknown,
  };

  ListenerCheck(asio::io_context& aContext, const Address& aAddress);

  /// Starts an attempt; none may be running. Ends within 100 ms.
  void Start(std::function<void(Result)> aDone);
  bool Running() const { return mDone != nullptr; }

private:
  void Finish(Result aResult);

  asio::ip::tcp::endpoint mEndpoint;
  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::function<void(Result)> mDone;
};

} // namespace snipepost
