#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// Identifies a connection of an endpoint; never reused. Zero means none.
using ConnectionHandle = StrongType<struct ConnectionHandleTag, uint64_t>;

/// A QUIC stream ID; requests use 0, 4, 8 and so on.
using StreamId = StrongType<struct StreamIdTag, int64_t>;

/// Identifies a request of a server endpoint.
struct RequestHandle
{
  ConnectionHandle mConnection;
  StreamId mStream;

  auto operator<=>(const RequestHandle&) const = default;
};

/// One HTTP field. Names are in lower case; pseudo-header fields such as
/// ":path" come first, in the order received.
struct HttpField
{
  std::string mName;
  std::string mValue;
};

using HttpFields = std::vector<HttpField>;

/// The value of the first field named aName, or an empty view.
inline std::string_view
FieldValue(const HttpFields& aFields, std::string_view aName)
{
  for (const HttpField& field : aFields) {
    if (field.mName == aName) {
      return field.mValue;
    }
  }
  return {};
}

/// The HTTP/3 error codes (RFC 9114, section 8.1) in use.
enum class Http3Error : uint64_t
{
  NoError = 0x100,
  InternalError = 0x102,
  ExcessiveLoad = 0x107,
  RequestRejected = 0x10b,
  RequestCancelled = 0x10c,
};

/// Length of every connection ID that a ServerEndpoint issues.
constexpr size_t kConnectionIdLength = 20;

using ConnectionIdBytes = std::array<uint8_t, kConnectionIdLength>;

/// Generates a new connection ID. Each call returns a value that no earlier
/// call in the same process returned.
using ConnectionIdGenerator = std::function<ConnectionIdBytes()>;

/// Length of a stateless reset token (RFC 9000, section 10.3).
constexpr size_t kResetTokenLength = 16;

using ResetToken = std::array<uint8_t, kResetTokenLength>;

/// Computes the stateless reset token of an issued connection ID. A later
/// incarnation of the process computes the same token, so it can reset flows of
/// the earlier one.
using ResetTokenGenerator =
  std::function<ResetToken(std::span<const uint8_t> aId)>;

/// Limits on the state that peers can create at an endpoint.
struct QuicLimits
{
  /// Connections that are open or in their handshake.
  size_t mConnections = 2000;
  /// Requests in progress on one connection.
  size_t mStreamsPerConnection = 16;
  /// Size of the header fields of a request or response: names and values, with
  /// 32 bytes added for each field (RFC 9114, 4.2.2).
  size_t mHeaderBytes = size_t{ 16 } * 1024;
  /// Flow control windows of a stream and of a connection: the bytes that the
  /// peer may send before they are consumed.
  size_t mStreamWindow = size_t{ 64 } * 1024;
  size_t mConnectionWindow = size_t{ 256 } * 1024;
  /// Unacknowledged bytes of an outgoing body that a stream buffers.
  size_t mSendBuffer = size_t{ 64 } * 1024;
  /// A connection that receives no packets for this long is dropped silently.
  Duration mIdleTimeout = std::chrono::seconds(30);
  /// A handshake that is not complete after this time is dropped.
  Duration mHandshakeTimeout = std::chrono::seconds(10);
};

} // namespace snipepost
