#include <snipepost/Http1/Client.h>

#include <algorithm>
#include <array>
#include <deque>

#include <netinet/tcp.h>

#include <snipepost/Net/DatagramSocket.h>

#include "src/Http1/Parser.h"

namespace snipepost::http1 {

namespace {

/// A page of a listing of the store has at most about 1 MB.
constexpr size_t kMaxBody = 4UL * 1024 * 1024;
constexpr size_t kReadSize = 8192;

/// Limit of the time to connect; a call that watches the store has a much
/// longer timeout. Servers accept connections within milliseconds.
constexpr Duration kConnectTimeout = std::chrono::seconds(1);

// Keep-alive probes detect within about 3 s that a peer became unreachable
// without a TCP reset. The timeout of a call that watches the store for changes
// is much longer.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr int kUserTimeoutMs = 2000;

void
SetOption(asio::ip::tcp::socket& aSocket, int aLevel, int aName, int aValue)
{
  // Errors are ignored: without the option a call still ends by its timeout.
  (void)setsockopt(
    aSocket.native_handle(), aLevel, aName, &aValue, sizeof aValue);
}

void
ConfigureSocket(asio::ip::tcp::socket& aSocket)
{
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
}

} // namespace

std::string_view
ToString(Result aResult)
{
  switch (aResult) {
    case Result::Ok:
      return "ok";
    case Result::NotConnected:
      return "not-connected";
    case Result::TimedOut:
      return "timed-out";
    case Result::Broken:
      return "broken";
  }
  return "invalid";
}

class Client::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(asio::io_context& aContext, const Address& aServer)
    : mServer(aServer)
    , mSocket(aContext)
    , mTimer(aContext)
    , mParser(HTTP_RESPONSE, kMaxBody)
  {
  }

  void Call(Request aRequest,
            const CallTimeouts& aTimeouts,
            ResponseHandler aDone)
  {
    mQueue.push_back({ std::move(aRequest), aTimeouts, std::move(aDone) });
    if (!mActive) {
      Start();
    }
  }

  void Reset()
  {
    mQueue.clear();
    mActive = false;
    Disconnect();
  }

private:
  struct PendingCall
  {
    Request mRequest;
    CallTimeouts mTimeouts;
    ResponseHandler mDone;
  };

  /// Binds a handler to the current exchange. Handlers of earlier exchanges,
  /// which may still be queued in the io_context, do nothing.
  template<typename Handler>
  auto BindToExchange(Handler aHandler)
  {
    return [self = shared_from_this(), exchange = mExchange, aHandler](
             const asio::error_code& aError, auto... aArgs) {
      if (exchange == self->mExchange) {
        aHandler(*self, aError, aArgs...);
      }
    };
  }

  void Start()
  {
    mActive = true;
    ++mExchange;
    const auto now = std::chrono::steady_clock::now();
    const CallTimeouts& timeouts = mQueue.front().mTimeouts;
    mDeadline = now + timeouts.mTotal;
    mResponseDeadline = std::min(now + timeouts.mResponse, mDeadline);
    if (mConnected) {
      Send();
    } else {
      Connect();
    }
  }

  /// Ends the call with aResult at aTime unless it has ended before.
  void FinishAt(std::chrono::steady_clock::time_point aTime, Result aResult)
  {
    mTimer.expires_at(aTime);
    mTimer.async_wait(
      BindToExchange([aResult](Impl& aSelf, const asio::error_code& aError) {
        if (!aError) {
          aSelf.Finish(aResult);
        }
      }));
  }

  void Connect()
  {
    const auto limit = std::chrono::steady_clock::now() + kConnectTimeout;
    FinishAt(std::min(limit, mResponseDeadline), Result::NotConnected);
    mSocket.async_connect(
      ToTcp(mServer),
      BindToExchange([](Impl& aSelf, const asio::error_code& aError) {
        if (aError) {
          aSelf.Finish(Result::NotConnected);
          return;
        }
        aSelf.mConnected = true;
        ConfigureSocket(aSelf.mSocket);
        aSelf.Send();
      }));
  }

  void Send()
  {
    FinishAt(mResponseDeadline, Result::TimedOut);
    const Request& request = mQueue.front().mRequest;
    mOut = request.mMethod + ' ' + request.mPath +
           " HTTP/1.1\r\nHost: " + ToString(mServer) + "\r\n";
    if (!request.mBody.empty()) {
      mOut += "Content-Type: application/json\r\n";
    }
    if (!request.mBody.empty() || request.mMethod != "GET") {
      mOut +=
        "Content-Length: " + std::to_string(request.mBody.size()) + "\r\n";
    }
    mOut += "\r\n" + request.mBody;
    mParser.Restart();
    asio::async_write(
      mSocket,
      asio::buffer(mOut),
      BindToExchange([](Impl& aSelf, const asio::error_code& aError, size_t) {
        if (aError) {
          aSelf.Finish(Result::Broken);
          return;
        }
        aSelf.Read();
      }));
  }

  void Read()
  {
    mSocket.async_read_some(
      asio::buffer(mIn),
      BindToExchange([](Impl& aSelf,
                        const asio::error_code& aError,
                        size_t aSize) { aSelf.OnRead(aError, aSize); }));
  }

  void OnRead(const asio::error_code& aError, size_t aSize)
  {
    const bool ended = aError == asio::error::eof;
    if (aError && !ended) {
      Finish(Result::Broken);
      return;
    }
    const bool valid =
      ended ? mParser.FeedEnd() : mParser.Feed(std::span(mIn).first(aSize));
    if (!valid || (ended && !mParser.Complete())) {
      Finish(Result::Broken);
      return;
    }
    if (!mParser.Complete()) {
      const auto next =
        std::chrono::steady_clock::now() + mQueue.front().mTimeouts.mProgress;
      FinishAt(std::min(next, mDeadline), Result::TimedOut);
      Read();
      return;
    }
    Finish(Result::Ok);
  }

  void Finish(Result aResult)
  {
    ++mExchange;
    mTimer.cancel();
    Response response;
    if (aResult == Result::Ok) {
      response.mStatus = mParser.Status();
      response.mBody = std::move(mParser.mBody);
      response.mHeaders = std::move(mParser.mHeaders);
    }
    if (aResult != Result::Ok || !mParser.KeepAlive()) {
      Disconnect();
    }
    mActive = false;
    const auto self = shared_from_this();
    const ResponseHandler done = std::move(mQueue.front().mDone);
    mQueue.pop_front();
    done(aResult, response);
    if (!mActive && !mQueue.empty()) {
      Start();
    }
  }

  void Disconnect()
  {
    ++mExchange;
    mTimer.cancel();
    asio::error_code ignored; // The connection is abandoned in any case.
    mSocket.close(ignored);
    mConnected = false;
  }

  Address mServer;
  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::chrono::steady_clock::time_point mDeadline;
  /// Until the first part of the response.
  std::chrono::steady_clock::time_point mResponseDeadline;
  Parser mParser;
  std::deque<PendingCall> mQueue;
  std::array<char, kReadSize> mIn{};
  std::string mOut;
  uint64_t mExchange = 0;
  bool mActive = false;
  bool mConnected = false;
};

Client::Client(asio::io_context& aContext, const Address& aServer)
  : mImpl(std::make_shared<Impl>(aContext, aServer))
{
}

Client::~Client()
{
  mImpl->Reset();
}

void
Client::Call(Request aRequest,
             const CallTimeouts& aTimeouts,
             ResponseHandler aDone)
{
  mImpl->Call(std::move(aRequest), aTimeouts, std::move(aDone));
}

void
Client::Call(Request aRequest, Duration aTimeout, ResponseHandler aDone)
{
  Call(std::move(aRequest),
       CallTimeouts{ aTimeout, aTimeout, aTimeout },
       std::move(aDone));
}

void
Client::Reset()
{
  mImpl->Reset();
}

} // namespace snipepost::http1
