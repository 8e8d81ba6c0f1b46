#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace snipepost::http1 {

struct Request
{
  std::string mMethod = "GET";
  /// Path and query string.
  std::string mPath = "/";
  /// JSON or empty.
  std::string mBody;
};

struct HeaderField
{
  std::string mName;
  std::string mValue;
};

struct Response
{
  unsigned mStatus = 200;
  std::string mBody;
  std::string mContentType = "application/json";
  /// Further header fields; in a received response all of them.
  std::vector<HeaderField> mHeaders{};

  /// The value of the first field aName, whose case does not matter; empty when
  /// there is none. The view is valid as long as the response.
  std::string_view Header(std::string_view aName) const;
};

} // namespace snipepost::http1
