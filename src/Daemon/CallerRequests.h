#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include <snipepost/Quic/Types.h>

#include <src/Daemon/RequestPipeline.h>

namespace snipepost {

/// Path at which callers request a scope for their idempotency keys.
inline constexpr std::string_view kKeyScopePath =
  "/.well-known/snipepost/key-scope";

/// Maximum size in bytes of a request body, which is buffered until it is
/// complete. The bodies that callers send (measurements, orders) are below
/// 64 KB.
constexpr size_t kMaxRequestBody = size_t{ 256 } * 1024;

/// Converts a caller's request. Pseudo-header and connection-specific fields
/// are removed; the deadline follows from the timeout in the deadline-ms field
/// or from the service's default.
CallerRequest
FromCaller(const HttpFields& aFields,
           std::string aBody,
           std::chrono::milliseconds aDefaultTimeout,
           Instant aNow);

/// Converts a request that another agent relayed. Returns nothing when the
/// relay's method or path field is missing.
std::optional<CallerRequest>
FromRelay(const http2::ServerRequest& aRequest,
          std::chrono::milliseconds aDefaultTimeout,
          Instant aNow);

/// The class of a request. Requests that are not idempotent are submissions.
/// Bulk requests are those of a bulk service, those with an urgency of 5 to 7
/// in the priority field (RFC 9218) and long-running ones. Without the last
/// rule, four sessions of 8 s occupy all slots of a backend server with the
/// default of 4 slots, so that queued queries miss their deadlines.
RequestClass
ClassOf(const CallerRequest& aRequest, bool aBulkService);

/// Hash of method, path and body; distinguishes requests with the same
/// idempotency key.
uint64_t
DigestOf(const CallerRequest& aRequest);

/// The smallest datagram with a QUIC short header that carries the ID.
std::array<uint8_t, 1 + kConnectionIdLength>
ShortHeaderFor(const ConnectionIdBytes& aId);

} // namespace snipepost
