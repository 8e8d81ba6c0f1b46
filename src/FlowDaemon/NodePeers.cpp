// Calls between nodes over HTTP: transfers of parts, and relayed writes.

#include "src/FlowDaemon/Node.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace snipepost {

namespace {

/// Timeout of a call to a peer. A peer in another failure domain normally
/// responds within 10 ms.
constexpr Duration kPeerCallTimeout = std::chrono::milliseconds(300);
/// Limit of the transfer of a part whose bytes keep arriving. A part has about
/// 1 MB at most, which takes 1 s on a link of 10 Mbit/s that nobody else uses.
constexpr Duration kMaxTransferTime = std::chrono::seconds(10);
constexpr http1::CallTimeouts kTransferTimeouts{ kPeerCallTimeout,
                                                 kPeerCallTimeout,
                                                 kMaxTransferTime };
constexpr std::string_view kStatePath = "/state/";
/// A peer of the previous build does not know the query and serves a snapshot.
constexpr std::string_view kEpochQuery = "epoch=";
constexpr std::string_view kSinceQuery = "since=";
constexpr std::string_view kRecordsPath = "/records";

constexpr unsigned kAccepted = 202;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;

/// Removes aName and the number after it from the start of aText and returns
/// the number. Nothing, without effect, when aText starts otherwise.
std::optional<uint64_t>
TakeNumber(std::string_view& aText, std::string_view aName)
{
  if (!aText.starts_with(aName)) {
    return std::nullopt;
  }
  const char* begin = aText.data() + aName.size();
  uint64_t number = 0;
  const auto [end, error] =
    std::from_chars(begin, aText.data() + aText.size(), number);
  if (error != std::errc()) {
    return std::nullopt;
  }
  aText.remove_prefix(static_cast<size_t>(end - aText.data()));
  return number;
}

} // namespace

void
Node::FetchPart(cluster::NodeIp aPeer, cluster::Part aPart)
{
  Fetch& fetch = mFetches[cluster::Index(aPart)];
  if (fetch.mBusy) {
    return;
  }
  fetch.mBusy = true;
  mMetrics.mPeerFetches.Add();
  fetch.mClient =
    std::make_unique<http1::Client>(mContext, InternalAddress(aPeer));
  http1::Request request;
  request.mPath =
    std::string(kStatePath) + std::string(cluster::ToString(aPart));
  const auto version = mReplica.Version(aPart);
  if (version.mLoaded && !std::exchange(fetch.mNeedsSnapshot, false)) {
    request.mPath += '?';
    request.mPath += kEpochQuery;
    request.mPath += std::to_string(version.mEpoch.Value()) + '&';
    request.mPath += kSinceQuery;
    request.mPath += std::to_string(version.mRevision.Value());
  }
  fetch.mClient->Call(std::move(request),
                      kTransferTimeouts,
                      [this, aPeer, aPart](http1::Result aResult,
                                           const http1::Response& aResponse) {
                        OnFetched(aPeer, aPart, aResult, aResponse);
                      });
}

void
Node::OnFetched(cluster::NodeIp aPeer,
                cluster::Part aPart,
                http1::Result aResult,
                const http1::Response& aResponse)
{
  Fetch& fetch = mFetches[cluster::Index(aPart)];
  fetch.mBusy = false;
  const bool done = aResult == http1::Result::Ok && aResponse.mStatus == 200;
  if (done && ApplyFetched(aPeer, aPart, aResponse.mBody)) {
    return;
  }
  // The next digest from any peer triggers another fetch. A peer of the
  // previous version serves snapshots only.
  fetch.mNeedsSnapshot = aResult == http1::Result::Ok;
  mLog.Write("peer-fetch-failed",
             { { "peer", ToString(aPeer) },
               { "part", std::string(cluster::ToString(aPart)) },
               { "status", std::to_string(aResponse.mStatus) },
               { "result", std::string(http1::ToString(aResult)) } });
}

bool
Node::ApplyFetched(cluster::NodeIp aPeer,
                   cluster::Part aPart,
                   const std::string& aBody)
{
  mMetrics.mPeerFetchBytes.Add(aBody.size());
  if (const auto snapshot = cluster::Replica::DecodeSnapshot(aBody)) {
    mMetrics.mPeerSnapshots.Add();
    mReplica.ApplySnapshot(aPart, *snapshot);
    return true;
  }
  const auto changes = cluster::Replica::DecodeChanges(aBody);
  if (!changes) {
    return false;
  }
  if (!mReplica.ApplyPeerChanges(aPart, *changes)) {
    mFetches[cluster::Index(aPart)].mNeedsSnapshot = true;
    FetchPart(aPeer, aPart);
  }
  return true;
}

bool
Node::RelayWrite(const cluster::RelayedWrite& aWrite)
{
  const auto entry = mGossip.RandomEntry();
  if (!entry) {
    return false;
  }
  mRelayClient =
    std::make_unique<http1::Client>(mContext, InternalAddress(*entry));
  mRelayClient->Call(
    { "POST", std::string(kRecordsPath), cluster::EncodeRelayedWrite(aWrite) },
    kPeerCallTimeout,
    [this, entry](http1::Result aResult, const http1::Response&) {
      mLog.Write("write-relayed",
                 { { "peer", ToString(*entry) },
                   { "result", std::string(http1::ToString(aResult)) } });
    });
  return true;
}

http1::Response
Node::WriteForPeer(const std::string& aBody)
{
  const auto relayed = cluster::DecodeRelayedWrite(aBody);
  if (!relayed) {
    return { kBadRequest, {} };
  }
  const auto epoch = relayed->mWrite.mEpoch;
  if (epoch != cluster::Epoch() && epoch < mReplica.LatestEpoch()) {
    // Its condition may hold by chance for another record.
    return { kConflict, {} };
  }
  mStore.Write(
    relayed->mName,
    relayed->mWrite,
    [this, name = relayed->mName](const cluster::WriteResult& aResult) {
      OnStoreEpoch(aResult.mEpoch);
      mLog.Write("record-written",
                 { { "record", name },
                   { "outcome", std::string(ToString(aResult.mOutcome)) } });
    });
  return { kAccepted, {} };
}

http1::Response
Node::Serve(const http1::Request& aRequest)
{
  if (aRequest.mMethod == "POST" && aRequest.mPath == kRecordsPath) {
    return WriteForPeer(aRequest.mBody);
  }
  if (aRequest.mMethod != "GET") {
    return { kNotFound, {} };
  }
  if (aRequest.mPath == "/metrics") {
    UpdateGauges();
    return { 200, mMetrics.Text(), "text/plain; version=0.0.4" };
  }
  if (aRequest.mPath == "/status") {
    return { 200, StatusText() };
  }
  const std::string_view target = aRequest.mPath;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const cluster::Part part : cluster::kParts) {
    if (path == std::string(kStatePath) + std::string(ToString(part)) &&
        mReplica.Loaded(part)) {
      return ServePart(part,
                       target.substr(std::min(path.size() + 1, target.size())));
    }
  }
  return { kNotFound, {} };
}

http1::Response
Node::ServePart(cluster::Part aPart, std::string_view aQuery)
{
  // A peer of the previous build names no epoch.
  cluster::Position since{ mReplica.Version(aPart).mEpoch, {} };
  if (const auto epoch = TakeNumber(aQuery, kEpochQuery)) {
    since.mEpoch = cluster::Epoch(*epoch);
    aQuery.remove_prefix(std::min<size_t>(aQuery.size(), 1));
  }
  const auto revision = TakeNumber(aQuery, kSinceQuery);
  if (!aQuery.empty()) {
    return { kBadRequest, {} };
  }
  if (revision) {
    since.mRevision = cluster::Revision(*revision);
    if (auto changes = mReplica.EncodeChanges(aPart, since)) {
      return { 200, std::move(*changes) };
    }
  }
  return { 200, mReplica.EncodeSnapshot(aPart) };
}

} // namespace snipepost
