#include <snipepost/ObjectApi/ObjectClient.h>

#include <chrono>
#include <utility>

#include "ObjectCodec.h"

namespace snipepost {

namespace {

// A value has at most 1 MB, which JSON escapes can double. At the fleet size
// expected in two years, a list contains the announcements of 4,010 instances,
// about 1 KB each.
constexpr size_t kMaxValueBody = 4UL * 1024 * 1024;
constexpr size_t kMaxListBody = 64UL * 1024 * 1024;

constexpr std::string_view kObjectsPath = "/v1/objects";

std::string
ObjectPath(std::string_view aKey)
{
  return std::string(kObjectsPath) + '/' + EncodeKey(aKey);
}

std::string
WholeSeconds(Duration aTime)
{
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(aTime).count());
}

void
AddCondition(http2::Request& aRequest, const WriteCondition& aCondition)
{
  if (auto header = aCondition.Header()) {
    aRequest.mHeaders.push_back(std::move(*header));
  }
}

} // namespace

std::string_view
ToString(ObjectOutcome aOutcome)
{
  switch (aOutcome) {
    case ObjectOutcome::Done:
      return "done";
    case ObjectOutcome::Conflict:
      return "conflict";
    case ObjectOutcome::Absent:
      return "absent";
    case ObjectOutcome::Refused:
      return "refused";
    case ObjectOutcome::Unknown:
      return "unknown";
  }
  return "invalid";
}

std::optional<std::pair<std::string, std::string>>
WriteCondition::Header() const
{
  switch (mKind) {
    case Kind::Always:
      return std::nullopt;
    case Kind::IfAbsent:
      return std::pair<std::string, std::string>("if-none-match", "*");
    case Kind::IfVersion:
      return std::pair<std::string, std::string>(
        "if-match", std::to_string(mVersion.Value()));
  }
  return std::nullopt;
}

class ObjectClient::Impl
{
public:
  Impl(asio::io_context& aContext,
       Address aPlatform,
       ObjectClientOptions aOptions)
    : mOptions(aOptions)
    , mClient(aContext, aPlatform)
  {
  }

  /// Sends a request, decodes its response with aDecode and passes the result
  /// to aDone.
  template<typename ResultType>
  http2::RequestId Call(http2::Request aRequest,
                        size_t aLimit,
                        ResultType (*aDecode)(http2::Result,
                                              const http2::Response&),
                        std::function<void(ResultType)> aDone)
  {
    if (aRequest.mTimeout == Duration::zero()) {
      aRequest.mTimeout = mOptions.mTimeout;
    }
    return mClient.Collect(
      std::move(aRequest),
      aLimit,
      [aDecode, done = std::move(aDone)](http2::Result aResult,
                                         const http2::Response& aResponse) {
        // Only CancelWatch() cancels, after which no callback is called.
        if (aResult != http2::Result::Cancelled) {
          done(aDecode(aResult, aResponse));
        }
      });
  }

  const ObjectClientOptions& Options() const { return mOptions; }
  void Cancel(http2::RequestId aRequest) { mClient.Cancel(aRequest); }

private:
  ObjectClientOptions mOptions;
  http2::Client mClient;
};

ObjectClient::ObjectClient(asio::io_context& aContext,
                           Address aPlatform,
                           ObjectClientOptions aOptions)
  : mImpl(std::make_shared<Impl>(aContext, aPlatform, aOptions))
{
}

ObjectClient::~ObjectClient() = default;

void
ObjectClient::Get(std::string_view aKey, std::function<void(GetResult)> aDone)
{
  http2::Request request;
  request.mPath = ObjectPath(aKey);
  mImpl->Call(
    std::move(request), kMaxValueBody, &DecodeGetResult, std::move(aDone));
}

void
ObjectClient::List(std::string_view aPrefix,
                   std::function<void(ListResult)> aDone)
{
  http2::Request request;
  request.mPath = std::string(kObjectsPath) + "?prefix=" + EncodeKey(aPrefix);
  mImpl->Call(
    std::move(request), kMaxListBody, &DecodeListResult, std::move(aDone));
}

void
ObjectClient::Put(std::string_view aKey,
                  std::string aValue,
                  WriteCondition aCondition,
                  std::function<void(WriteResult)> aDone,
                  std::optional<Duration> aLease)
{
  http2::Request request;
  request.mMethod = "PUT";
  request.mPath = ObjectPath(aKey);
  request.mBody = std::move(aValue);
  AddCondition(request, aCondition);
  if (aLease) {
    request.mHeaders.emplace_back("lease-seconds", WholeSeconds(*aLease));
  }
  mImpl->Call(
    std::move(request), kMaxValueBody, &DecodeWriteResult, std::move(aDone));
}

void
ObjectClient::Remove(std::string_view aKey,
                     WriteCondition aCondition,
                     std::function<void(WriteResult)> aDone)
{
  http2::Request request;
  request.mMethod = "DELETE";
  request.mPath = ObjectPath(aKey);
  AddCondition(request, aCondition);
  mImpl->Call(
    std::move(request), kMaxValueBody, &DecodeWriteResult, std::move(aDone));
}

ObjectClient::WatchId
ObjectClient::Watch(std::string_view aPrefix,
                    uint64_t aSince,
                    Duration aWait,
                    std::function<void(WatchResult)> aDone)
{
  http2::Request request;
  request.mPath = "/v1/watch?prefix=" + EncodeKey(aPrefix) +
                  "&since=" + std::to_string(aSince) +
                  "&wait=" + WholeSeconds(aWait);
  request.mTimeout = std::chrono::ceil<std::chrono::seconds>(aWait) +
                     mImpl->Options().mWatchMargin;
  return WatchId(
    mImpl
      ->Call(
        std::move(request), kMaxListBody, &DecodeWatchResult, std::move(aDone))
      .Value());
}

void
ObjectClient::CancelWatch(WatchId aWatch)
{
  mImpl->Cancel(http2::RequestId(aWatch.Value()));
}

} // namespace snipepost
