#include "tests/platform/soak/SoakStore.h"

#include <algorithm>

namespace snipepost::soak {

namespace json = boost::json;

namespace {

constexpr std::string_view kObjects = "/-/objects/";
constexpr Duration kAnswerTime = std::chrono::milliseconds(4);
constexpr unsigned kSlowFactor = 60;
constexpr double kLostShare = 0.33;
/// Small, so that lists of records have several pages.
constexpr size_t kPage = 5;
constexpr auto kLongestWait = std::chrono::seconds(30);

http1::Response
Json(unsigned aStatus, const json::object& aBody)
{
  return { aStatus, json::serialize(aBody) };
}

http1::Response
Refusal(unsigned aStatus)
{
  return { aStatus, "{}" };
}

uint64_t
NumberIn(const std::map<std::string, std::string>& aQuery, const char* aName)
{
  const auto found = aQuery.find(aName);
  return found == aQuery.end() ? 0 : std::stoull(found->second);
}

} // namespace

SoakStore::SoakStore(asio::io_context& aContext,
                     const Address& aListen,
                     uint64_t aSeed)
  : mContext(aContext)
  , mRandom(aSeed)
  , mServer(aContext,
            aListen,
            http1::DeferredHandler(
              [this](const http1::Request& aRequest, http1::Responder aSend) {
                OnCall(aRequest, std::move(aSend));
              }))
{
}

SoakStore::~SoakStore() = default;

void
SoakStore::SetMode(StoreMode aMode)
{
  mMode = aMode;
  if (aMode == StoreMode::Silent || aMode == StoreMode::Busy) {
    // Waiting watches are cut off as well.
    for (const auto& watcher : mWatchers) {
      mUnanswered.push_back(watcher->mSend);
    }
    mWatchers.clear();
  }
}

void
SoakStore::Compact()
{
  mForgotten = mRevision;
  mHistory.clear();
  for (const auto& watcher : mWatchers) {
    watcher->mSend(Refusal(410));
  }
  mWatchers.clear();
}

void
SoakStore::Put(const std::string& aKind,
               const std::string& aName,
               json::value aSpec)
{
  Object& object = mObjects[aKind][aName];
  object.mRevision = ++mRevision;
  object.mCreated = object.mCreated == 0 ? mRevision : object.mCreated;
  object.mSpec = std::move(aSpec);
  Changed(aKind,
          { { "deleted", false }, { "object", Describe(aName, object) } });
}

void
SoakStore::Remove(const std::string& aKind, const std::string& aName)
{
  const auto found = mObjects[aKind].find(aName);
  if (found == mObjects[aKind].end()) {
    return;
  }
  Object object = std::move(found->second);
  mObjects[aKind].erase(found);
  object.mRevision = ++mRevision;
  Changed(aKind,
          { { "deleted", true }, { "object", Describe(aName, object) } });
}

size_t
SoakStore::Count(const std::string& aKind) const
{
  const auto found = mObjects.find(aKind);
  return found == mObjects.end() ? 0 : found->second.size();
}

json::object
SoakStore::Describe(const std::string& aName, const Object& aObject)
{
  return { { "meta",
             { { "name", aName },
               { "rev", aObject.mRevision },
               { "create_revision", aObject.mCreated },
               { "finalizers", json::array() },
               { "deleting", false } } },
           { "spec", aObject.mSpec },
           { "status", nullptr } };
}

SoakStore::Target
SoakStore::ParseTarget(std::string_view aPath)
{
  Target target;
  const size_t question = aPath.find('?');
  std::string_view path =
    aPath.substr(kObjects.size(), question - kObjects.size());
  const size_t slash = path.find('/');
  target.mKind = path.substr(0, slash);
  if (slash != std::string_view::npos) {
    target.mName = path.substr(slash + 1);
  }
  std::string_view query =
    question == std::string_view::npos ? "" : aPath.substr(question + 1);
  while (!query.empty()) {
    const std::string_view item = query.substr(0, query.find('&'));
    const size_t equals = item.find('=');
    target.mQuery[std::string(item.substr(0, equals))] =
      item.substr(equals + 1);
    query.remove_prefix(std::min(query.size(), item.size() + 1));
  }
  return target;
}

void
SoakStore::After(Duration aTime, std::function<void()> aAction)
{
  const auto timer = std::make_shared<asio::steady_timer>(mContext);
  timer->expires_after(aTime);
  timer->async_wait(
    [timer, action = std::move(aAction)](const asio::error_code& aError) {
      if (!aError) {
        action();
      }
    });
}

void
SoakStore::OnCall(const http1::Request& aRequest, http1::Responder aSend)
{
  ++mCalls;
  if (mMode == StoreMode::Silent) {
    mUnanswered.push_back(std::move(aSend));
    return;
  }
  const Duration time =
    mMode == StoreMode::Slow ? kAnswerTime * kSlowFactor : kAnswerTime;
  After(time,
        [this, aRequest, send = std::move(aSend)] { Serve(aRequest, send); });
}

void
SoakStore::Serve(const http1::Request& aRequest, const http1::Responder& aSend)
{
  if (mMode == StoreMode::Busy || mMode == StoreMode::Limited) {
    aSend(Refusal(mMode == StoreMode::Busy ? 503 : 429));
    return;
  }
  const Target target = ParseTarget(aRequest.mPath);
  if (aRequest.mMethod == "GET") {
    if (target.mQuery.contains("watch")) {
      Watch(target, aSend);
    } else {
      aSend(Read(target));
    }
    return;
  }
  if (mMode == StoreMode::LateWrites && mRandom.Chance(kLostShare)) {
    mUnanswered.push_back(aSend);
    After(std::chrono::milliseconds(1000 + mRandom.Below(5000)),
          [this, aRequest] { Write(aRequest); });
    return;
  }
  const http1::Response response = Write(aRequest);
  if (mMode == StoreMode::LosesAnswers && mRandom.Chance(kLostShare)) {
    mUnanswered.push_back(aSend);
    return;
  }
  aSend(response);
}

http1::Response
SoakStore::Read(const Target& aTarget) const
{
  const auto kind = mObjects.find(aTarget.mKind);
  if (!aTarget.mName.empty()) {
    if (kind == mObjects.end() || !kind->second.contains(aTarget.mName)) {
      return Refusal(404);
    }
    return Json(200, Describe(aTarget.mName, kind->second.at(aTarget.mName)));
  }
  json::array items;
  bool more = false;
  if (kind != mObjects.end()) {
    const auto after = aTarget.mQuery.find("after");
    auto at = after == aTarget.mQuery.end()
                ? kind->second.begin()
                : kind->second.upper_bound(after->second);
    for (; at != kind->second.end() && items.size() < kPage; ++at) {
      items.push_back(Describe(at->first, at->second));
    }
    more = at != kind->second.end();
  }
  return Json(200,
              { { "items", std::move(items) },
                { "more", more },
                { "current_rev", mRevision } });
}

http1::Response
SoakStore::EventsSince(const std::string& aKind, uint64_t aSince) const
{
  json::array events;
  for (const Event& event : mHistory) {
    if (event.mKind == aKind && event.mRevision > aSince) {
      events.push_back(event.mBody);
    }
  }
  return Json(
    200, { { "events", std::move(events) }, { "current_rev", mRevision } });
}

void
SoakStore::Watch(const Target& aTarget, const http1::Responder& aSend)
{
  const uint64_t since = NumberIn(aTarget.mQuery, "watch");
  if (since < mForgotten) {
    aSend(Refusal(410));
    return;
  }
  const bool ready = std::ranges::any_of(mHistory, [&](const Event& aEvent) {
    return aEvent.mKind == aTarget.mKind && aEvent.mRevision > since;
  });
  if (ready) {
    aSend(EventsSince(aTarget.mKind, since));
    return;
  }
  const auto watcher = std::make_shared<Watcher>();
  watcher->mKind = aTarget.mKind;
  watcher->mSince = since;
  watcher->mSend = aSend;
  watcher->mEnd = std::make_unique<asio::steady_timer>(mContext);
  watcher->mEnd->expires_after(std::min<std::chrono::milliseconds>(
    std::chrono::milliseconds(NumberIn(aTarget.mQuery, "wait_ms")),
    kLongestWait));
  watcher->mEnd->async_wait(
    [this, weak = std::weak_ptr(watcher)](const asio::error_code& aError) {
      const auto ended = weak.lock();
      if (!aError && ended) {
        std::erase(mWatchers, ended);
        ended->mSend(EventsSince(ended->mKind, ended->mSince));
      }
    });
  mWatchers.push_back(watcher);
}

void
SoakStore::Changed(const std::string& aKind, json::object aEvent)
{
  mHistory.push_back({ mRevision, aKind, std::move(aEvent) });
  std::vector<std::shared_ptr<Watcher>> due;
  std::erase_if(mWatchers, [&](const auto& aWatcher) {
    if (aWatcher->mKind != aKind) {
      return false;
    }
    due.push_back(aWatcher);
    return true;
  });
  for (const auto& watcher : due) {
    watcher->mSend(EventsSince(aKind, watcher->mSince));
  }
}

http1::Response
SoakStore::Write(const http1::Request& aRequest)
{
  Target target = ParseTarget(aRequest.mPath);
  auto& kind = mObjects[target.mKind];
  if (aRequest.mMethod == "DELETE") {
    const auto found = kind.find(target.mName);
    if (found == kind.end()) {
      return Refusal(404);
    }
    if (target.mQuery.contains("rev") &&
        NumberIn(target.mQuery, "rev") != found->second.mRevision) {
      return Json(409, Describe(target.mName, found->second));
    }
    const json::object body = Describe(target.mName, found->second);
    Remove(target.mKind, target.mName);
    return Json(200, body);
  }
  const json::object body = json::parse(aRequest.mBody).as_object();
  if (aRequest.mMethod == "PUT") {
    return Replace(target, body);
  }
  target.mName = body.at("meta").as_object().at("name").as_string();
  if (kind.contains(target.mName)) {
    return Json(409, Describe(target.mName, kind.at(target.mName)));
  }
  Put(target.mKind, target.mName, body.at("spec"));
  return Json(201, Describe(target.mName, kind.at(target.mName)));
}

http1::Response
SoakStore::Replace(const Target& aTarget, const json::object& aBody)
{
  auto& kind = mObjects[aTarget.mKind];
  const auto found = kind.find(aTarget.mName);
  if (found == kind.end()) {
    return Refusal(404);
  }
  const json::object& meta = aBody.at("meta").as_object();
  if (const auto* revision = meta.if_contains("rev");
      revision && revision->to_number<uint64_t>() != found->second.mRevision) {
    return Json(409, Describe(aTarget.mName, found->second));
  }
  if (found->second.mSpec != aBody.at("spec")) {
    Put(aTarget.mKind, aTarget.mName, aBody.at("spec"));
  }
  return Json(200, Describe(aTarget.mName, found->second));
}

} // namespace snipepost::soak
