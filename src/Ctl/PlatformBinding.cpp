#include "src/Ctl/PlatformBinding.h"

#include <utility>

#include <asio.hpp>

#include <snipepost/Document/Codec.h>
#include <snipepost/Http2/Client.h>
#include <snipepost/Platform/ObjectClient.h>

namespace snipepost {

namespace {

/// Limit for one GET from an instance. An instance that does not answer by
/// then is reported as such.
constexpr Duration kInstanceTimeout = std::chrono::seconds(2);

/// Turns the asynchronous client's calls into blocking ones.
class PlatformStore : public ObjectStore
{
public:
  explicit PlatformStore(Address aPlatform)
    : mClient(mContext, aPlatform)
  {
  }

  StoreAnswer Get(const std::string& aKey) override
  {
    StoreAnswer answer;
    bool ended = false;
    mClient.Get(aKey, [&](GetResult aResult) {
      answer.mOutcome = aResult.mOutcome;
      if (aResult.mObject) {
        answer.mObjects.push_back(*std::move(aResult.mObject));
      }
      ended = true;
    });
    Wait(ended);
    return answer;
  }

  StoreAnswer List(const std::string& aPrefix) override
  {
    StoreAnswer answer;
    bool ended = false;
    mClient.List(aPrefix, [&](ListResult aResult) {
      answer.mOutcome = aResult.mOutcome;
      for (auto& object : aResult.mObjects) {
        answer.mObjects.push_back(std::move(object));
      }
      ended = true;
    });
    Wait(ended);
    return answer;
  }

  StoreAnswer Put(const std::string& aKey,
                  const std::string& aValue,
                  std::optional<ObjectVersion> aVersion) override
  {
    StoreAnswer answer;
    bool ended = false;
    mClient.Put(aKey,
                aValue,
                aVersion ? WriteCondition::IfVersion(*aVersion)
                         : WriteCondition::IfAbsent(),
                [&](const WriteResult& aResult) {
                  answer.mOutcome = aResult.mOutcome;
                  ended = true;
                });
    Wait(ended);
    return answer;
  }

private:
  /// Runs the context until the callback was called; the client's time limit
  /// bounds this. The idle connection keeps the context from running dry.
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

InstanceAnswer
AskInstance(Address aControl, const std::string& aPath)
{
  asio::io_context context;
  http2::Client client(context, aControl);
  http2::Request request;
  request.mPath = aPath;
  request.mTimeout = kInstanceTimeout;
  InstanceAnswer answer;
  bool ended = false;
  client.Collect(std::move(request),
                 kMaxDocumentBytes,
                 [&](http2::Result aResult, http2::Response aResponse) {
                   ended = true;
                   if (aResult != http2::Result::Answered) {
                     return;
                   }
                   answer.mReached =
                     aResponse.mStatus == 200 || aResponse.mStatus == 404;
                   if (aResponse.mStatus == 200) {
                     answer.mBody = std::move(aResponse.mBody);
                   }
                 });
  while (!ended && context.run_one() > 0) {
  }
  return answer;
}

} // namespace snipepost
