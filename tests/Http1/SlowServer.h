#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <asio.hpp>

#include <snipepost/Base/Types.h>
#include <snipepost/Net/DatagramSocket.h>

namespace snipepost {

/// An HTTP server on a slow link: responds to every request with the same body,
/// in parts at a fixed interval.
class SlowServer
{
public:
  /// Sends aPartCount parts, one every aInterval, and nothing after that; all
  /// of the body with kAllParts.
  static constexpr size_t kAllParts = SIZE_MAX;

  SlowServer(asio::io_context& aContext,
             const Address& aLocal,
             std::string aBody,
             size_t aPartSize,
             Duration aInterval,
             size_t aPartCount = kAllParts)
    : mAcceptor(aContext, ToTcp(aLocal), true)
    , mText("HTTP/1.1 200 OK\r\nContent-Length: " +
            std::to_string(aBody.size()) + "\r\n\r\n" + aBody)
    , mPartSize(aPartSize)
    , mInterval(aInterval)
    , mPartCount(aPartCount)
  {
    Accept();
  }

  Address Local() const
  {
    const auto endpoint = mAcceptor.local_endpoint();
    return { endpoint.address().to_v4().to_uint(), endpoint.port() };
  }

private:
  struct Session
  {
    explicit Session(asio::ip::tcp::socket aSocket)
      : mSocket(std::move(aSocket))
      , mTimer(mSocket.get_executor())
    {
    }

    asio::ip::tcp::socket mSocket;
    asio::steady_timer mTimer;
    std::string mRequest;
    size_t mSent = 0;
    size_t mParts = 0;
  };
  using SessionPtr = std::shared_ptr<Session>;

  void Accept()
  {
    mAcceptor.async_accept(
      [this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
        if (!aError) {
          AwaitRequest(std::make_shared<Session>(std::move(aSocket)));
          Accept();
        }
      });
  }

  void AwaitRequest(const SessionPtr& aSession)
  {
    asio::async_read_until(
      aSession->mSocket,
      asio::dynamic_buffer(aSession->mRequest),
      "\r\n\r\n",
      [this, aSession](const asio::error_code& aError, size_t) {
        if (!aError) {
          SendPart(aSession);
        }
      });
  }

  void SendPart(const SessionPtr& aSession)
  {
    const size_t size = std::min(mPartSize, mText.size() - aSession->mSent);
    if (size == 0 || aSession->mParts++ == mPartCount) {
      mStalled.push_back(aSession);
      return;
    }
    asio::error_code error;
    asio::write(aSession->mSocket,
                asio::buffer(mText.data() + aSession->mSent, size),
                error);
    if (error) {
      return; // The client has given up.
    }
    aSession->mSent += size;
    aSession->mTimer.expires_after(mInterval);
    aSession->mTimer.async_wait(
      [this, aSession](const asio::error_code& aCancelled) {
        if (!aCancelled) {
          SendPart(aSession);
        }
      });
  }

  asio::ip::tcp::acceptor mAcceptor;
  std::string mText;
  size_t mPartSize;
  Duration mInterval;
  size_t mPartCount;
  /// Keeps connections open after the last part.
  std::vector<SessionPtr> mStalled;
};

} // namespace snipepost
