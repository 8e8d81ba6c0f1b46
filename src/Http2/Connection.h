#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <asio.hpp>
#include <nghttp2/nghttp2.h>

#include <snipepost/Base/Address.h>
#include <snipepost/Http2/Message.h>

namespace snipepost::http2 {

asio::ip::tcp::endpoint
ToEndpoint(const Address& aAddress);

Address
ToAddress(const asio::ip::tcp::endpoint& aEndpoint);

/// The header fields of a request or response for nghttp2, which copies them.
class FieldList
{
public:
  /// aName and aValue must outlive this object.
  void Add(std::string_view aName, std::string_view aValue);
  /// Omits fields that HTTP/2 does not allow here: those whose names start with
  /// a colon (pseudo-headers) or contain capital letters.
  void Add(const Headers& aHeaders);
  const nghttp2_nv* Data() const { return mFields.data(); }
  size_t Size() const { return mFields.size(); }

private:
  std::vector<nghttp2_nv> mFields;
};

/// A socket and an nghttp2 session: transfers bytes between the two and calls
/// the virtual functions. Pending socket operations keep the object alive.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  enum class Side
  {
    Client,
    Server
  };

  virtual ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Closes the socket and calls OnClosed() in a handler of the io_context, not
  /// within this call.
  void Abort();

  bool Closed() const { return mClosed; }

protected:
  explicit Connection(asio::ip::tcp::socket aSocket);

  /// Creates the session, submits SETTINGS and starts reading.
  void StartSession(Side aSide,
                    const std::vector<nghttp2_settings_entry>& aSettings);

  /// Schedules the session's queued frames to be sent. Safe within nghttp2's
  /// callbacks.
  void ScheduleFlush();

  nghttp2_session* Session() const { return mSession; }
  asio::ip::tcp::socket& Socket() { return mSocket; }

  /// A data provider that calls OnReadBody().
  static nghttp2_data_provider BodyProvider();

  virtual int OnBeginHeaders(const nghttp2_frame& aFrame) = 0;
  virtual int OnHeader(const nghttp2_frame& aFrame,
                       std::string_view aName,
                       std::string_view aValue) = 0;
  virtual void OnFrame(const nghttp2_frame& aFrame) = 0;
  virtual void OnFrameSent(const nghttp2_frame& aFrame) = 0;
  virtual void OnData(int32_t aStreamId, Chunk aData) = 0;
  virtual void OnStreamClosed(int32_t aStreamId, uint32_t aCode) = 0;
  virtual ssize_t OnReadBody(int32_t aStreamId,
                             uint8_t* aTarget,
                             size_t aLength,
                             uint32_t* aFlags) = 0;

  /// Called once when the connection has been closed.
  virtual void OnClosed() = 0;

private:
  struct Callbacks;

  void Read();
  void OnRead(const asio::error_code& aError, size_t aSize);
  void ReadOrPause();
  void Flush();
  void Write();
  void StartLinger();
  void CloseSocket();

  asio::ip::tcp::socket mSocket;
  asio::steady_timer mLingerTimer;
  nghttp2_session* mSession = nullptr;
  std::array<uint8_t, 16UL * 1024> mInput{};
  std::string mOutput;
  bool mWriting = false;
  bool mFlushScheduled = false;
  bool mLingering = false;
  bool mReadPaused = false;
  Side mSide = Side::Client;
  bool mClosed = false;
};

} // namespace snipepost::http2
