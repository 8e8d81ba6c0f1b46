#pragma once

#include <string>
#include <string_view>

#include <snipepost/Http2/Client.h>
#include <snipepost/ObjectApi/ObjectClient.h>

namespace snipepost {

/// Percent-encodes a key for paths and queries (RFC 3986 section 2.1), except
/// for unreserved characters and slashes.
std::string
EncodeKey(std::string_view aKey);

/// The outcome of a finished request. It does not depend on the body's
/// contents.
ObjectOutcome
OutcomeOf(http2::Result aResult, const http2::Response& aResponse);

/// These decode a finished request into the result of a call. A malformed body
/// makes the outcome Unknown, except that Conflict stays.
GetResult
DecodeGetResult(http2::Result aResult, const http2::Response& aResponse);

ListResult
DecodeListResult(http2::Result aResult, const http2::Response& aResponse);

WriteResult
DecodeWriteResult(http2::Result aResult, const http2::Response& aResponse);

WatchResult
DecodeWatchResult(http2::Result aResult, const http2::Response& aResponse);

} // namespace snipepost
