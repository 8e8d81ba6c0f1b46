#pragma once

#include <string>
#include <string_view>

#include <snipepost/Http2/Client.h>
#include <snipepost/ObjectApi/ObjectClient.h>

namespace snipepost {

/// Percent-encodes everything but unreserved characters and slashes (RFC 3986
/// section 2.1), for keys in paths and queries.
std::string
EncodeKey(std::string_view aKey);

/// The outcome that a finished request stands for, before its body is read.
ObjectOutcome
OutcomeOf(http2::Result aResult, const http2::Response& aResponse);

/// These turn a finished request into the result of a call. A body that can't
/// be read makes the outcome Unknown.
GetResult
ReadGet(http2::Result aResult, const http2::Response& aResponse);

ListResult
ReadList(http2::Result aResult, const http2::Response& aResponse);

WriteResult
ReadWrite(http2::Result aResult, const http2::Response& aResponse);

WatchResult
ReadWatch(http2::Result aResult, const http2::Response& aResponse);

} // namespace snipepost
