#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include <snipepost/Quic/Types.h>

#include <src/Daemon/RequestPipeline.h>

namespace snipepost {

/// Path at which callers get a scope for their idempotency keys.
inline constexpr std::string_view kKeyScopePath =
  "/.well-known/snipepost/key-scope";

/// Longest request body that an agent takes, in bytes. Measurements and
/// orders are below 64 KB; the body is held until it is complete.
constexpr size_t kMaxRequestBody = size_t{ 256 } * 1024;

/// Converts a caller's request: pseudo and connection fields are left out, and
/// the deadline comes from the deadline-ms field or the service's default.
CallerRequest
FromCaller(const HttpFields& aFields,
           std::string aBody,
           std::chrono::milliseconds aDefaultDeadline,
           Instant aNow);

/// Converts a request that another agent relayed; nothing when the fields of
/// the relay are missing.
std::optional<CallerRequest>
FromRelay(const http2::ServerRequest& aRequest,
          std::chrono::milliseconds aDefaultDeadline,
          Instant aNow);

/// The class of a request: submissions are those that are not idempotent;
/// bulk are those of a bulk service, those with an urgency of 5 to 7 in the
/// priority field (RFC 9218), and long-running ones. Four sessions of 8 s held
/// every slot of a backend server before the last rule, and queries behind
/// them missed their deadlines.
RequestClass
ClassOf(const CallerRequest& aRequest, bool aBulkService);

/// Hash of method, path and body, by which a request is told from another one
/// with the same idempotency key.
uint64_t
DigestOf(const CallerRequest& aRequest);

/// The smallest datagram with a short header that carries the ID.
std::array<uint8_t, 1 + kConnectionIdLength>
ShortHeaderFor(const ConnectionIdBytes& aId);

} // namespace snipepost
