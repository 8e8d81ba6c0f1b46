#include <snipepost/Http1/Server.h>

#include <array>

#include <http_parser.h>

#include <snipepost/Net/DatagramSocket.h>

#include "src/Http1/Parser.h"

namespace snipepost::http1 {

namespace {

constexpr size_t kMaxBody = 65536;
constexpr size_t kReadSize = 2048;
/// Enough for health probes, the backend server and several other instances,
/// which use a few connections each.
constexpr size_t kMaxConnections = 256;
/// A connection without a request for this long is closed.
constexpr auto kIdleLimit = std::chrono::seconds(60);

const char*
ReasonPhrase(unsigned aStatus)
{
  return http_status_str(static_cast<http_status>(aStatus));
}

} // namespace

class Server::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(asio::io_context& aContext,
       const Address& aLocal,
       DeferredHandler aHandler)
    : mAcceptor(aContext, ToTcp(aLocal), true)
    , mHandler(std::move(aHandler))
  {
  }

  void Accept()
  {
    mAcceptor.async_accept(
      [self = shared_from_this()](const asio::error_code& aError,
                                  asio::ip::tcp::socket aSocket) {
        if (!self->mAcceptor.is_open()) {
          return;
        }
        if (!aError && self->mConnections < kMaxConnections) {
          std::make_shared<Session>(self, std::move(aSocket))->Read();
        }
        self->Accept();
      });
  }

  void Close()
  {
    asio::error_code ignored; // The listener is closed in any case.
    mAcceptor.close(ignored);
    mHandler = nullptr;
  }

  Address Local() const
  {
    const auto endpoint = mAcceptor.local_endpoint();
    return { endpoint.address().to_v4().to_uint(), endpoint.port() };
  }

private:
  class Session : public std::enable_shared_from_this<Session>
  {
  public:
    Session(std::shared_ptr<Impl> aServer, asio::ip::tcp::socket aSocket)
      : mServer(std::move(aServer))
      , mSocket(std::move(aSocket))
      , mTimer(mSocket.get_executor())
      , mParser(HTTP_REQUEST, kMaxBody)
    {
      ++mServer->mConnections;
    }

    ~Session() { --mServer->mConnections; }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    void Read()
    {
      mTimer.expires_after(kIdleLimit);
      mTimer.async_wait(
        [self = weak_from_this()](const asio::error_code& aError) {
          const auto session = self.lock();
          if (!aError && session) {
            asio::error_code ignored; // The socket is closed in any case.
            session->mSocket.close(ignored);
          }
        });
      mSocket.async_read_some(asio::buffer(mIn),
                              [self = shared_from_this()](
                                const asio::error_code& aError, size_t aSize) {
                                if (!aError) {
                                  self->OnRead(aSize);
                                }
                              });
    }

  private:
    void OnRead(size_t aSize)
    {
      if (!mParser.Feed(std::span(mIn).first(aSize))) {
        return; // Malformed: the session ends and closes.
      }
      if (!mParser.Complete()) {
        Read();
        return;
      }
      if (mServer->mHandler) {
        HandleRequest();
      }
    }

    void HandleRequest()
    {
      const Request request{ mParser.Method(),
                             std::move(mParser.mTarget),
                             std::move(mParser.mBody) };
      mServer->mHandler(request,
                        [self = shared_from_this()](const Response& aResponse) {
                          self->Send(aResponse);
                        });
    }

    void Send(const Response& aResponse)
    {
      mOut = "HTTP/1.1 " + std::to_string(aResponse.mStatus) + ' ' +
             ReasonPhrase(aResponse.mStatus) +
             "\r\nContent-Type: " + aResponse.mContentType +
             "\r\nContent-Length: " + std::to_string(aResponse.mBody.size()) +
             "\r\n";
      for (const HeaderField& field : aResponse.mHeaders) {
        mOut += field.mName + ": " + field.mValue + "\r\n";
      }
      mOut += "\r\n" + aResponse.mBody;
      const bool keepAlive = mParser.KeepAlive();
      mParser.Restart();
      asio::async_write(mSocket,
                        asio::buffer(mOut),
                        [self = shared_from_this(),
                         keepAlive](const asio::error_code& aError, size_t) {
                          if (!aError && keepAlive) {
                            self->Read();
                          }
                        });
    }

    std::shared_ptr<Impl> mServer;
    asio::ip::tcp::socket mSocket;
    asio::steady_timer mTimer;
    Parser mParser;
    std::array<char, kReadSize> mIn{};
    std::string mOut;
  };

  asio::ip::tcp::acceptor mAcceptor;
  DeferredHandler mHandler;
  size_t mConnections = 0;
};

Server::Server(asio::io_context& aContext,
               const Address& aLocal,
               RequestHandler aHandler)
  : Server(
      aContext,
      aLocal,
      DeferredHandler([handler = std::move(aHandler)](const Request& aRequest,
                                                      const Responder& aSend) {
        aSend(handler(aRequest));
      }))
{
}

Server::Server(asio::io_context& aContext,
               const Address& aLocal,
               DeferredHandler aHandler)
  : mImpl(std::make_shared<Impl>(aContext, aLocal, std::move(aHandler)))
{
  mImpl->Accept();
}

Server::~Server()
{
  mImpl->Close();
}

Address
Server::Local() const
{
  return mImpl->Local();
}

} // namespace snipepost::http1
