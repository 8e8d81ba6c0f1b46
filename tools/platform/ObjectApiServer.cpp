#include "ObjectApiServer.h"

#include <array>
#include <cstdio>
#include <optional>

#include <xxhash.h>

#include "tools/common/Program.h"

namespace snipepost::tools {

namespace json = boost::json;

namespace {

// Precision at which leases and watches expire, well below the whole seconds of
// the API.
constexpr auto kTickInterval = std::chrono::milliseconds(20);

// Maximum wait of a watch; a longer wait is reduced to it.
constexpr uint64_t kMaxWaitSeconds = 300;

constexpr std::string_view kObjectsPath = "/v1/objects";
constexpr std::string_view kWatchPath = "/v1/watch";

http2::ServerOptions
ServerLimits()
{
  http2::ServerOptions options;
  // Every snipepost instance has one connection with one or two watches.
  options.mMaxConnections = 10000;
  options.mMaxStreams = 1000;
  return options;
}

json::object
ToJson(const Change& aChange)
{
  json::object object{ { "key", aChange.mKey },
                       { "version", aChange.mRevision } };
  if (aChange.mValue) {
    object["value"] = *aChange.mValue;
  } else {
    object["value"] = nullptr;
  }
  return object;
}

json::array
ToJson(const std::vector<const Change*>& aChanges)
{
  json::array array;
  for (const Change* change : aChanges) {
    array.push_back(ToJson(*change));
  }
  return array;
}

std::string
QueryValue(const Target& aTarget, const std::string& aName)
{
  const auto found = aTarget.mQuery.find(aName);
  return found == aTarget.mQuery.end() ? std::string() : found->second;
}

/// True when the request's conditional headers match the stored object, if any.
bool
ConditionHolds(const http2::Headers& aHeaders, const Change* aCurrent)
{
  if (http2::FindHeader(aHeaders, "if-none-match") == "*" &&
      aCurrent != nullptr) {
    return false;
  }
  const std::string_view match = http2::FindHeader(aHeaders, "if-match");
  return match.empty() ||
         (aCurrent != nullptr && ParseNumber(match) == aCurrent->mRevision);
}

std::string
Digest(std::string_view aValue)
{
  std::array<char, 17> text{};
  std::snprintf(
    text.data(),
    text.size(),
    "%016llx",
    static_cast<unsigned long long>(XXH3_64bits(aValue.data(), aValue.size())));
  return text.data();
}

} // namespace

ObjectApiServer::ObjectApiServer(asio::io_context& aContext,
                                 const ObjectApiServerOptions& aOptions)
  : mContext(aContext)
  , mJournal(aOptions.mJournal)
  , mReads(aOptions.mReadsPerSecond)
  , mWrites(aOptions.mWritesPerSecond)
  , mTimer(aContext)
  , mServer(
      aContext,
      aOptions.mListen,
      [this](const http2::ServerRequest& aRequest,
             const ResponderPointer& aResponder) {
        OnRequest(aRequest, aResponder);
      },
      ServerLimits())
{
  Tick();
}

void
ObjectApiServer::OnRequest(const http2::ServerRequest& aRequest,
                           const ResponderPointer& aResponder)
{
  const Target target = ParseTarget(aRequest.mPath);
  if (target.mPath == "/fault") {
    OnFault(aRequest, aResponder);
    return;
  }
  if (mFaults.mOutage) {
    SendResponse(aResponder, 503, { { "error", "outage" } });
    return;
  }
  const bool isRead = aRequest.mMethod == "GET";
  RateLimit& limit = isRead ? mReads : mWrites;
  if (!limit.Take(Now(), isRead ? mWatches.size() : 0)) {
    ++mLimitedCount;
    SendResponse(aResponder, 429, { { "error", "rate limit" } });
    return;
  }
  ++(isRead ? mReadCount : mWriteCount);
  if (isRead) {
    OnRead(target, aResponder);
    return;
  }
  const bool isWrite =
    aRequest.mMethod == "PUT" || aRequest.mMethod == "DELETE";
  const std::string prefix = std::string(kObjectsPath) + '/';
  if (!isWrite || !target.mPath.starts_with(prefix)) {
    SendResponse(aResponder, 405, { { "error", "no such operation" } });
    return;
  }
  OnWrite(aRequest, target.mPath.substr(prefix.size()), aResponder);
}

void
ObjectApiServer::OnRead(const Target& aTarget,
                        const ResponderPointer& aResponder)
{
  if (aTarget.mPath == kWatchPath) {
    OnWatch(aTarget, aResponder);
    return;
  }
  if (aTarget.mPath == kObjectsPath) {
    const auto objects = mStore.List(QueryValue(aTarget, "prefix"));
    SendResponse(
      aResponder,
      200,
      { { "revision", mStore.Revision() }, { "objects", ToJson(objects) } });
    return;
  }
  const std::string prefix = std::string(kObjectsPath) + '/';
  const Change* object = aTarget.mPath.starts_with(prefix)
                           ? mStore.Get(aTarget.mPath.substr(prefix.size()))
                           : nullptr;
  if (object == nullptr) {
    SendResponse(aResponder, 404, { { "error", "no such object" } });
    return;
  }
  SendResponse(aResponder, 200, ToJson(*object));
}

void
ObjectApiServer::OnWatch(const Target& aTarget,
                         const ResponderPointer& aResponder)
{
  const auto since = ParseNumber(QueryValue(aTarget, "since"));
  const auto wait = ParseNumber(QueryValue(aTarget, "wait"));
  if (!since || !wait) {
    SendResponse(
      aResponder, 400, { { "error", "since and wait are numbers" } });
    return;
  }
  const auto seconds = std::chrono::seconds(std::min(*wait, kMaxWaitSeconds));
  mWatches.push_back(
    { QueryValue(aTarget, "prefix"), *since, Now() + seconds, aResponder });
  const http2::Responder* key = aResponder.get();
  aResponder->OnCancel([this, key] {
    mWatches.remove_if([key](const PendingWatch& aWatch) {
      return aWatch.mResponder.get() == key;
    });
  });
  CompleteWatches();
}

void
ObjectApiServer::OnWrite(const http2::ServerRequest& aRequest,
                         const std::string& aKey,
                         const ResponderPointer& aResponder)
{
  if (mFaults.mWritesToLose > 0) {
    --mFaults.mWritesToLose;
    DropWithoutResponse(aResponder);
    return;
  }
  const Change* current = mStore.Get(aKey);
  if (!ConditionHolds(aRequest.mHeaders, current)) {
    const json::value shown =
      current == nullptr ? json::value(nullptr) : ToJson(*current);
    SendResponse(aResponder, 412, { { "current", shown } });
    return;
  }
  const bool isRemoval = aRequest.mMethod == "DELETE";
  if (isRemoval && current == nullptr) {
    SendResponse(aResponder, 404, { { "error", "no such object" } });
    return;
  }
  const auto lease =
    ParseNumber(http2::FindHeader(aRequest.mHeaders, "lease-seconds"));
  std::optional<Instant> expiry;
  if (lease) {
    expiry = Now() + std::chrono::seconds(*lease);
  }
  const Change& change =
    isRemoval ? mStore.Remove(aKey) : mStore.Put(aKey, aRequest.mBody, expiry);
  WriteJournal(change, isRemoval ? "remove" : "put");
  const uint64_t version = change.mRevision;
  CompleteWatches();
  if (mFaults.mResponsesToLose > 0) {
    --mFaults.mResponsesToLose;
    DropWithoutResponse(aResponder);
    return;
  }
  SendResponse(aResponder, 200, { { "version", version } });
}

void
ObjectApiServer::OnFault(const http2::ServerRequest& aRequest,
                         const ResponderPointer& aResponder)
{
  // Responses to /fault bypass the delay, so that faults can always be cleared.
  int status = 200;
  if (aRequest.mMethod == "POST") {
    try {
      if (!SetFaults(json::parse(aRequest.mBody).as_object())) {
        status = 409;
      }
    } catch (const std::exception&) {
      status = 400;
    }
  }
  aResponder->Respond(status,
                      { { "content-type", "application/json" } },
                      json::serialize(DescribeFaults()));
}

bool
ObjectApiServer::SetFaults(const json::object& aFaults)
{
  Faults faults = mFaults;
  std::optional<uint64_t> revision;
  bool isEmptied = false;
  for (const auto& [name, value] : aFaults) {
    if (name == "outage") {
      faults.mOutage = value.as_bool();
    } else if (name == "delayMs") {
      faults.mDelay = std::chrono::milliseconds(value.to_number<uint32_t>());
    } else if (name == "loseAnswers") {
      faults.mResponsesToLose = value.to_number<uint64_t>();
    } else if (name == "loseWrites") {
      faults.mWritesToLose = value.to_number<uint64_t>();
    } else if (name == "silent") {
      faults.mSilent = value.as_bool();
    } else if (name == "stallWatches") {
      faults.mStallWatches = value.as_bool();
    } else if (name == "rollBack") {
      revision = value.to_number<uint64_t>();
    } else if (name == "empty") {
      isEmptied = value.as_bool();
    } else {
      throw std::invalid_argument("unknown fault");
    }
  }
  if (revision && !mStore.RollBack(*revision)) {
    return false;
  }
  if (revision) {
    WriteJournal({ .mRevision = *revision }, "rollBack");
  }
  if (isEmptied) {
    mStore.Clear();
    WriteJournal({}, "empty");
  }
  mFaults = faults;
  if (mFaults.mOutage) {
    FailWatches(503);
  }
  CompleteWatches();
  return true;
}

json::object
ObjectApiServer::DescribeFaults() const
{
  return { { "outage", mFaults.mOutage },
           { "delayMs", mFaults.mDelay / std::chrono::milliseconds(1) },
           { "loseAnswers", mFaults.mResponsesToLose },
           { "loseWrites", mFaults.mWritesToLose },
           { "silent", mFaults.mSilent },
           { "stallWatches", mFaults.mStallWatches },
           { "revision", mStore.Revision() },
           { "pendingWatches", mWatches.size() },
           { "reads", mReadCount },
           { "writes", mWriteCount },
           { "limited", mLimitedCount } };
}

void
ObjectApiServer::Tick()
{
  for (const Change& change : mStore.Expire(Now())) {
    WriteJournal(change, "expire");
  }
  CompleteWatches();
  std::erase_if(mUnansweredResponders, [](const ResponderPointer& aResponder) {
    return !aResponder->Open();
  });
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
ObjectApiServer::CompleteWatches()
{
  if (mFaults.mStallWatches) {
    return;
  }
  const Instant now = Now();
  for (auto at = mWatches.begin(); at != mWatches.end();) {
    const auto changes = mStore.ChangesAfter(at->mPrefix, at->mSince);
    const bool isRolledBack = at->mSince > mStore.Revision();
    if (changes.empty() && !isRolledBack && now < at->mDeadline) {
      ++at;
      continue;
    }
    const auto responder = at->mResponder;
    at = mWatches.erase(at);
    SendResponse(
      responder,
      200,
      { { "revision", mStore.Revision() }, { "events", ToJson(changes) } });
  }
}

void
ObjectApiServer::FailWatches(int aStatus)
{
  for (const PendingWatch& watch : std::exchange(mWatches, {})) {
    SendResponse(watch.mResponder, aStatus, { { "error", "outage" } });
  }
}

void
ObjectApiServer::WriteJournal(const Change& aChange,
                              std::string_view aOperation)
{
  json::object line{ { "ms", NowMs() },
                     { "operation", aOperation },
                     { "key", aChange.mKey },
                     { "version", aChange.mRevision } };
  if (aChange.mValue) {
    line["bytes"] = aChange.mValue->size();
    line["digest"] = Digest(*aChange.mValue);
  }
  mJournal.Write(json::serialize(line));
}

void
ObjectApiServer::SendResponse(const ResponderPointer& aResponder,
                              int aStatus,
                              const json::value& aBody)
{
  auto respond = [aResponder, aStatus, body = json::serialize(aBody)] {
    aResponder->Respond(
      aStatus, { { "content-type", "application/json" } }, body);
  };
  if (mFaults.mDelay == Duration::zero()) {
    respond();
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(mContext, mFaults.mDelay);
  timer->async_wait([timer, respond](const asio::error_code&) { respond(); });
}

void
ObjectApiServer::DropWithoutResponse(const ResponderPointer& aResponder)
{
  if (mFaults.mSilent) {
    mUnansweredResponders.push_back(aResponder);
    return;
  }
  aResponder->Reset(http2::ResetCode::InternalError);
}

} // namespace snipepost::tools
