#include "ObjectCodec.h"

#include <array>
#include <cctype>

#include <boost/json.hpp>

namespace snipepost {

namespace json = boost::json;

namespace {

// Boost.JSON throws on missing members and wrong types; DecodeBody() catches
// the exceptions.
StoredObject
DecodeStoredObject(const json::value& aValue)
{
  return { json::value_to<std::string>(aValue.at("key")),
           ObjectVersion(aValue.at("version").to_number<uint64_t>()),
           json::value_to<std::string>(aValue.at("value")) };
}

ObjectEvent
DecodeEvent(const json::value& aValue)
{
  ObjectEvent event{ json::value_to<std::string>(aValue.at("key")),
                     ObjectVersion(aValue.at("version").to_number<uint64_t>()),
                     std::nullopt };
  const json::value* value = aValue.as_object().if_contains("value");
  if (value != nullptr && !value->is_null()) {
    event.mValue = json::value_to<std::string>(*value);
  }
  return event;
}

/// Parses the body and calls aDecode to fill the result. On any error it
/// returns an empty result with the outcome Unknown.
template<typename ResultType, typename Decoder>
ResultType
DecodeBody(ResultType aResult, std::string_view aBody, Decoder aDecode)
{
  try {
    aDecode(aResult, json::parse({ aBody.data(), aBody.size() }));
    return aResult;
  } catch (const std::exception&) {
    return {};
  }
}

} // namespace

std::string
EncodeKey(std::string_view aKey)
{
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnescaped = "-._~/";
  std::string text;
  for (const char c : aKey) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 ||
        kUnescaped.find(c) != std::string_view::npos) {
      text += c;
    } else {
      text += { '%', kHexDigits[byte >> 4], kHexDigits[byte & 15] };
    }
  }
  return text;
}

ObjectOutcome
OutcomeOf(http2::Result aResult, const http2::Response& aResponse)
{
  switch (aResult) {
    case http2::Result::Refused:
    case http2::Result::NotSent:
      return ObjectOutcome::Refused;
    case http2::Result::Answered:
      break;
    case http2::Result::Broken:
    case http2::Result::TimedOut:
    case http2::Result::Cancelled:
      return ObjectOutcome::Unknown;
  }
  switch (aResponse.mStatus) {
    case 200:
      return aResponse.mTruncated ? ObjectOutcome::Unknown
                                  : ObjectOutcome::Done;
    case 404:
      return ObjectOutcome::Absent;
    case 412:
      return ObjectOutcome::Conflict;
    // The request is invalid and was rejected as a whole.
    case 400:
    case 405:
    case 413:
    case 431:
    // Rate limit and outage: the API defines that the request had no effect.
    case 429:
    case 503:
      return ObjectOutcome::Refused;
    default:
      return ObjectOutcome::Unknown;
  }
}

GetResult
DecodeGetResult(http2::Result aResult, const http2::Response& aResponse)
{
  GetResult result;
  result.mOutcome = OutcomeOf(aResult, aResponse);
  if (result.mOutcome != ObjectOutcome::Done) {
    return result;
  }
  return DecodeBody(
    result, aResponse.mBody, [](GetResult& aOutput, const json::value& aValue) {
      aOutput.mObject = DecodeStoredObject(aValue);
    });
}

ListResult
DecodeListResult(http2::Result aResult, const http2::Response& aResponse)
{
  ListResult result;
  result.mOutcome = OutcomeOf(aResult, aResponse);
  if (result.mOutcome != ObjectOutcome::Done) {
    return result;
  }
  return DecodeBody(
    result,
    aResponse.mBody,
    [](ListResult& aOutput, const json::value& aValue) {
      aOutput.mRevision = aValue.at("revision").to_number<uint64_t>();
      for (const json::value& object : aValue.at("objects").as_array()) {
        aOutput.mObjects.push_back(DecodeStoredObject(object));
      }
    });
}

WriteResult
DecodeWriteResult(http2::Result aResult, const http2::Response& aResponse)
{
  WriteResult result;
  result.mOutcome = OutcomeOf(aResult, aResponse);
  if (result.mOutcome == ObjectOutcome::Done) {
    return DecodeBody(result,
                      aResponse.mBody,
                      [](WriteResult& aOutput, const json::value& aValue) {
                        aOutput.mVersion = ObjectVersion(
                          aValue.at("version").to_number<uint64_t>());
                      });
  }
  if (result.mOutcome != ObjectOutcome::Conflict) {
    return result;
  }
  WriteResult conflict =
    DecodeBody(result,
               aResponse.mBody,
               [](WriteResult& aOutput, const json::value& aValue) {
                 const json::value& current = aValue.at("current");
                 if (!current.is_null()) {
                   aOutput.mCurrent = DecodeStoredObject(current);
                 }
               });
  // The status shows that nothing was changed, even if the body is malformed.
  conflict.mOutcome = ObjectOutcome::Conflict;
  return conflict;
}

WatchResult
DecodeWatchResult(http2::Result aResult, const http2::Response& aResponse)
{
  WatchResult result;
  result.mOutcome = OutcomeOf(aResult, aResponse);
  if (result.mOutcome != ObjectOutcome::Done) {
    return result;
  }
  return DecodeBody(
    result,
    aResponse.mBody,
    [](WatchResult& aOutput, const json::value& aValue) {
      aOutput.mRevision = aValue.at("revision").to_number<uint64_t>();
      for (const json::value& event : aValue.at("events").as_array()) {
        aOutput.mEvents.push_back(DecodeEvent(event));
      }
    });
}

} // namespace snipepost
