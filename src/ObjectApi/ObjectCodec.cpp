#include "ObjectCodec.h"

#include <array>
#include <cctype>

#include <boost/json.hpp>

namespace snipepost {

namespace json = boost::json;

namespace {

// Boost.JSON reports missing members and wrong types by exceptions, which
// ReadBody() turns into an unreadable body.
StoredObject
ReadObject(const json::value& aValue)
{
  return { json::value_to<std::string>(aValue.at("key")),
           ObjectVersion(aValue.at("version").to_number<uint64_t>()),
           json::value_to<std::string>(aValue.at("value")) };
}

ObjectEvent
ReadEvent(const json::value& aValue)
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

/// Parses the body and lets aRead fill the result; on any fault the result is
/// Unknown and otherwise empty.
template<typename ResultType, typename Reader>
ResultType
ReadBody(ResultType aResult, std::string_view aBody, Reader aRead)
{
  try {
    aRead(aResult, json::parse({ aBody.data(), aBody.size() }));
    return aResult;
  } catch (const std::exception&) {
    return {};
  }
}

} // namespace

std::string
EncodeKey(std::string_view aKey)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr std::string_view kPlain = "-._~/";
  std::string text;
  for (const char c : aKey) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || kPlain.find(c) != std::string_view::npos) {
      text += c;
    } else {
      text += { '%', kDigits[byte >> 4], kDigits[byte & 15] };
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
    // The request itself is at fault and was rejected as a whole.
    case 400:
    case 405:
    case 413:
    case 431:
    // Rate limit and outage, by the API's definition without effect.
    case 429:
    case 503:
      return ObjectOutcome::Refused;
    default:
      return ObjectOutcome::Unknown;
  }
}

GetResult
ReadGet(http2::Result aResult, const http2::Response& aResponse)
{
  GetResult result;
  result.mOutcome = OutcomeOf(aResult, aResponse);
  if (result.mOutcome != ObjectOutcome::Done) {
    return result;
  }
  return ReadBody(
    result, aResponse.mBody, [](GetResult& aInto, const json::value& aValue) {
      aInto.mObject = ReadObject(aValue);
    });
}

ListResult
ReadList(http2::Result aResult, const http2::Response& aResponse)
{
  ListResult result;
  result.mOutcome = OutcomeOf(aResult, aResponse);
  if (result.mOutcome != ObjectOutcome::Done) {
    return result;
  }
  return ReadBody(
    result, aResponse.mBody, [](ListResult& aInto, const json::value& aValue) {
      aInto.mRevision = aValue.at("revision").to_number<uint64_t>();
      for (const json::value& object : aValue.at("objects").as_array()) {
        aInto.mObjects.push_back(ReadObject(object));
      }
    });
}

WriteResult
ReadWrite(http2::Result aResult, const http2::Response& aResponse)
{
  WriteResult result;
  result.mOutcome = OutcomeOf(aResult, aResponse);
  if (result.mOutcome == ObjectOutcome::Done) {
    return ReadBody(result,
                    aResponse.mBody,
                    [](WriteResult& aInto, const json::value& aValue) {
                      aInto.mVersion = ObjectVersion(
                        aValue.at("version").to_number<uint64_t>());
                    });
  }
  if (result.mOutcome != ObjectOutcome::Conflict) {
    return result;
  }
  WriteResult conflict = ReadBody(
    result, aResponse.mBody, [](WriteResult& aInto, const json::value& aValue) {
      const json::value& current = aValue.at("current");
      if (!current.is_null()) {
        aInto.mCurrent = ReadObject(current);
      }
    });
  // The status alone tells that nothing was changed.
  conflict.mOutcome = ObjectOutcome::Conflict;
  return conflict;
}

WatchResult
ReadWatch(http2::Result aResult, const http2::Response& aResponse)
{
  WatchResult result;
  result.mOutcome = OutcomeOf(aResult, aResponse);
  if (result.mOutcome != ObjectOutcome::Done) {
    return result;
  }
  return ReadBody(
    result, aResponse.mBody, [](WatchResult& aInto, const json::value& aValue) {
      aInto.mRevision = aValue.at("revision").to_number<uint64_t>();
      for (const json::value& event : aValue.at("events").as_array()) {
        aInto.mEvents.push_back(ReadEvent(event));
      }
    });
}

} // namespace snipepost
