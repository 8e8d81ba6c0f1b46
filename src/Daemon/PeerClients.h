#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <asio.hpp>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/KeyedTag.h>
#include <snipepost/Http2/Client.h>

namespace snipepost {

/// Header that carries the keyed tag of a control request.
inline constexpr std::string_view kTagHeader = "snipepost-tag";

/// Value of the tag header for a request: key slot and tag in hexadecimal.
std::string
SignRequest(const KeyRing& aKeys,
            std::string_view aMethod,
            std::string_view aPath,
            std::string_view aBody);

/// Whether the value of the tag header is valid for the request.
bool
VerifyRequest(const KeyRing& aKeys,
              std::string_view aTag,
              std::string_view aMethod,
              std::string_view aPath,
              std::string_view aBody);

/// Control connections to other instances, opened on demand and closed when
/// idle.
class PeerClients
{
public:
  using Done = std::function<void(http2::Result, http2::Response)>;

  PeerClients(asio::io_context& aContext, const KeyRing& aKeys);

  /// Sends a tagged request and collects at most aLimit bytes of the response
  /// body.
  void Call(const Address& aPeer,
            http2::Request aRequest,
            size_t aLimit,
            Instant aNow,
            Done aDone);

  /// Closes connections without open calls that were last used before
  /// aIdleSince.
  void CloseIdle(Instant aIdleSince);

private:
  struct Peer
  {
    std::unique_ptr<http2::Client> mClient;
    Instant mLastUse;
    size_t mOpenCalls = 0;
  };

  asio::io_context& mContext;
  const KeyRing& mKeys;
  std::map<Address, std::shared_ptr<Peer>> mPeers;
};

} // namespace snipepost
