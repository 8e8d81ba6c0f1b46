#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <snipepost/Http2/Message.h>

namespace snipepost {

/// A complete response of a backend server.
struct CompleteResponse
{
  int mStatus = 0;
  http2::Headers mHeaders;
  std::string mBody;
};

/// Serializes a response to the opaque bytes that the idempotency table stores.
std::string
PackResponse(const CompleteResponse& aResponse);

/// Parses the bytes that PackResponse wrote; nothing for any other bytes.
std::optional<CompleteResponse>
UnpackResponse(std::string_view aBytes);

} // namespace snipepost
