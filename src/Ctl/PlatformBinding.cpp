#include "src/Ctl/PlatformBinding.h"

#include <utility>

#include <asio.hpp>

#include <snipepost/Document/Codec.h>
#include <snipepost/Http2/Client.h>
#include <snipepost/ObjectApi/ObjectClient.h>

namespace snipepost {

namespace {

/// Timeout of a GET from an instance, after which it is reported as not
/// responding.
constexpr Duration kInstanceTimeout = std::chrono::seconds(2);

/// Blocking adapter for the asynchronous client.
class PlatformStore : public ObjectStore
{
public:
  explicit PlatformStore(Address aPlatform)
    : mClient(mContext, aPlatform)
  {
  }

  StoreResponse Get(const std::string& aKey) override
  {
    StoreResponse response;
    bool ended = false;
    mClient.Get(aKey, [&](GetResult aResult) {
      response.mOutcome = aResult.mOutcome;
      if (aResult.mObject) {
        response.mObjects.push_back(*std::move(aResult.mObject));
      }
      ended = true;
    });
    Wait(ended);
    return response;
  }

  StoreResponse List(const std::string& aPrefix) override
  {
    StoreResponse response;
    bool ended = false;
    mClient.List(aPrefix, [&](ListResult aResult) {
      response.mOutcome = aResult.mOutcome;
      for (auto& object : aResult.mObjects) {
        response.mObjects.push_back(std::move(object));
      }
      ended = true;
    });
    Wait(ended);
    return response;
  }

  StoreResponse Put(const std::string& aKey,
                    const std::string& aValue,
                    std::optional<ObjectVersion> aVersion) override
  {
    StoreResponse response;
    bool ended = false;
    mClient.Put(aKey,
                aValue,
                aVersion ? WriteCondition::IfVersion(*aVersion)
                         : WriteCondition::IfAbsent(),
                [&](const WriteResult& aResult) {
                  response.mOutcome = aResult.mOutcome;
                  ended = true;
                });
    Wait(ended);
    return response;
  }

private:
  /// Runs the context until the callback has been called; the client's timeout
  /// ensures that this happens. run() would not return after that, because the
  /// idle connection has a read pending.
  void Wait(const bool& aEnded)
  {
    mContext.restart();
    while (!aEnded && mContext.run_one() > 0) {
    }
  }

  asio::io_context mContext;
  ObjectClient mClient;
};

} // namespace

std::unique_ptr<ObjectStore>
OpenPlatformStore(Address aPlatform)
{
  return std::make_unique<PlatformStore>(aPlatform);
}

InstanceResponse
QueryInstance(Address aControl, const std::string& aPath)
{
  asio::io_context context;
  http2::Client client(context, aControl);
  http2::Request request;
  request.mPath = aPath;
  request.mTimeout = kInstanceTimeout;
  InstanceResponse response;
  bool ended = false;
  client.Collect(std::move(request),
                 kMaxDocumentBytes,
                 [&](http2::Result aResult, http2::Response aHttpResponse) {
                   ended = true;
                   if (aResult != http2::Result::Answered) {
                     return;
                   }
                   response.mReached = aHttpResponse.mStatus == 200 ||
                                       aHttpResponse.mStatus == 404;
                   if (aHttpResponse.mStatus == 200) {
                     response.mBody = std::move(aHttpResponse.mBody);
                   }
                 });
  while (!ended && context.run_one() > 0) {
  }
  return response;
}

} // namespace snipepost
