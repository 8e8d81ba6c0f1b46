#pragma once

#include <string>

namespace snipepost::http1 {

struct Request
{
  std::string mMethod = "GET";
  /// Path and query string.
  std::string mPath = "/";
  /// JSON or empty.
  std::string mBody;
};

struct Response
{
  unsigned mStatus = 200;
  std::string mBody;
  std::string mContentType = "application/json";
};

} // namespace snipepost::http1
