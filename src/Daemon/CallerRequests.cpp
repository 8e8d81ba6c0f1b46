#include <src/Daemon/CallerRequests.h>

#include <algorithm>
#include <charconv>

#include <xxhash.h>

namespace snipepost {

namespace {

/// Longest timeout that a caller may request; a long session or a download
/// over a slow link finishes within it.
constexpr std::chrono::milliseconds kMaxTimeout = std::chrono::hours(2);

/// A request whose timeout is at least this multiple of the service's default
/// is long-running.
constexpr int kLongTimeoutFactor = 4;

std::chrono::milliseconds
ParseTimeout(std::string_view aText, std::chrono::milliseconds aDefault)
{
  int64_t count = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, count);
  if (aText.empty() || parsed.ec != std::errc{} || parsed.ptr != end ||
      count <= 0) {
    return aDefault;
  }
  return std::min(std::chrono::milliseconds(count), kMaxTimeout);
}

bool
IsIdempotent(std::string_view aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "OPTIONS";
}

void
SetDeadline(CallerRequest& aRequest,
            std::string_view aText,
            std::chrono::milliseconds aDefault,
            Instant aNow)
{
  const std::chrono::milliseconds timeout = ParseTimeout(aText, aDefault);
  aRequest.mDeadline = aNow + timeout;
  aRequest.mLongRunning = timeout >= kLongTimeoutFactor * aDefault;
}

/// True for pseudo-header and hop-by-hop fields, and for fields that this
/// instance sets itself.
bool
IsDropped(std::string_view aName)
{
  return aName.starts_with(':') || aName == "deadline-ms" ||
         aName == "connection" || aName == "te" || aName == "host" ||
         aName.starts_with("snipepost-");
}

} // namespace

CallerRequest
FromCaller(const HttpFields& aFields,
           std::string aBody,
           std::chrono::milliseconds aDefaultTimeout,
           Instant aNow)
{
  CallerRequest request;
  request.mMethod = FieldValue(aFields, ":method");
  request.mPath = FieldValue(aFields, ":path");
  for (const HttpField& field : aFields) {
    if (!IsDropped(field.mName)) {
      request.mHeaders.emplace_back(field.mName, field.mValue);
    }
  }
  request.mBody = std::move(aBody);
  request.mIdempotent = IsIdempotent(request.mMethod);
  SetDeadline(
    request, FieldValue(aFields, "deadline-ms"), aDefaultTimeout, aNow);
  return request;
}

std::optional<CallerRequest>
FromRelay(const http2::ServerRequest& aRequest,
          std::chrono::milliseconds aDefaultTimeout,
          Instant aNow)
{
  CallerRequest request;
  request.mMethod = http2::FindHeader(aRequest.mHeaders, "snipepost-method");
  request.mPath = http2::FindHeader(aRequest.mHeaders, "snipepost-path");
  if (request.mMethod.empty() || request.mPath.empty()) {
    return std::nullopt;
  }
  for (const auto& header : aRequest.mHeaders) {
    if (!IsDropped(header.first)) {
      request.mHeaders.push_back(header);
    }
  }
  request.mBody = aRequest.mBody;
  request.mIdempotent = IsIdempotent(request.mMethod);
  SetDeadline(request,
              http2::FindHeader(aRequest.mHeaders, "deadline-ms"),
              aDefaultTimeout,
              aNow);
  return request;
}

RequestClass
ClassOf(const CallerRequest& aRequest, bool aBulkService)
{
  if (!aRequest.mIdempotent) {
    return RequestClass::Submission;
  }
  const auto priority = http2::FindHeader(aRequest.mHeaders, "priority");
  const size_t urgency = priority.find("u=");
  const bool low = urgency != std::string_view::npos &&
                   urgency + 2 < priority.size() &&
                   priority[urgency + 2] >= '5' && priority[urgency + 2] <= '7';
  const bool bulk = low || aBulkService || aRequest.mLongRunning;
  return bulk ? RequestClass::Bulk : RequestClass::Query;
}

uint64_t
DigestOf(const CallerRequest& aRequest)
{
  // The hash of each part seeds the next one, so moving bytes from one part to
  // another changes the digest.
  uint64_t digest = 0;
  for (const std::string* part :
       { &aRequest.mMethod, &aRequest.mPath, &aRequest.mBody }) {
    digest = XXH3_64bits_withSeed(part->data(), part->size(), digest);
  }
  return digest;
}

std::array<uint8_t, 1 + kConnectionIdLength>
ShortHeaderFor(const ConnectionIdBytes& aId)
{
  constexpr uint8_t kShortHeader = 0x40;
  std::array<uint8_t, 1 + kConnectionIdLength> bytes;
  bytes[0] = kShortHeader;
  std::copy(aId.begin(), aId.end(), bytes.begin() + 1);
  return bytes;
}

} // namespace snipepost
