#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <asio.hpp>

#include <snipepost/Base/Address.h>

#include "tests/platform/soak/LinkFaults.h"

namespace snipepost::soak {

/// Forwards connections to a target and applies the current fault. Once bytes
/// of one direction of a connection have been discarded, that direction stays
/// blocked, as the stream would have a gap.
class StreamProxy
{
public:
  StreamProxy(asio::io_context& aContext,
              const Address& aListen,
              const Address& aTarget,
              std::function<StreamFault()> aFault);
  ~StreamProxy();

  /// Resets all connections now.
  void ResetAll();

private:
  class ProxiedConnection;

  void Accept();

  asio::io_context& mContext;
  asio::ip::tcp::acceptor mAcceptor;
  Address mTarget;
  std::function<StreamFault()> mFault;
  std::vector<std::weak_ptr<ProxiedConnection>> mConnections;
};

} // namespace snipepost::soak
