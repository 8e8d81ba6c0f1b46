#include "tests/Quic/FakeNetwork.h"

#include <algorithm>
#include <cstring>

#include <xxhash.h>

namespace snipepost::test {

namespace {

constexpr Duration kLinkDelay = std::chrono::milliseconds(4);

const Credentials&
ServerCredentials()
{
  static const Credentials sCredentials =
    Credentials::MakeSelfSigned("test").value();
  return sCredentials;
}

HttpFields
RequestFields(const std::string& aMethod, const std::string& aPath)
{
  return { { ":method", aMethod },
           { ":scheme", "https" },
           { ":authority", "test" },
           { ":path", aPath } };
}

} // namespace

std::vector<uint8_t>
TestBytes(size_t aCount)
{
  std::vector<uint8_t> bytes(aCount);
  for (size_t i = 0; i < aCount; ++i) {
    bytes[i] = static_cast<uint8_t>((i * 2654435761U) >> 13);
  }
  return bytes;
}

std::optional<StreamId>
TestCaller::Get(const std::string& aPath)
{
  return mConnection->Submit(RequestFields("GET", aPath), {});
}

std::optional<StreamId>
TestCaller::Post(const std::string& aPath, std::span<const uint8_t> aBody)
{
  return mConnection->Submit(RequestFields("POST", aPath), aBody);
}

FakeNetwork::FakeNetwork(uint64_t aSeed, const QuicLimits& aLimits)
  : mRandom(aSeed)
{
  auto generateId = [this] {
    ConnectionIdBytes bytes{ 0x10 };
    ++mIssuedIds;
    for (size_t i = 0; i < 4; ++i) {
      bytes[1 + i] = static_cast<uint8_t>(mIssuedIds >> (8 * i));
    }
    return bytes;
  };
  auto sink = [this](std::span<const uint8_t> aBytes,
                     const Address& aCaller,
                     ConnectionHandle) {
    Transmit(aBytes, [this, aCaller](std::span<const uint8_t> aData) {
      for (auto& caller : mCallers) {
        if (caller->mAddress == aCaller) {
          caller->mConnection->OnDatagram(aData, mNow);
        }
      }
    });
  };
  mMakeServer = [this, aLimits, generateId, sink] {
    auto server = std::make_unique<ServerEndpoint>(
      ServerCredentials(), aLimits, mService, generateId, sink, *this);
    server->SetResetTokenGenerator([](std::span<const uint8_t> aId) {
      const XXH128_hash_t hash = XXH3_128bits(aId.data(), aId.size());
      ResetToken token;
      static_assert(sizeof hash == sizeof token);
      std::memcpy(token.data(), &hash, sizeof hash);
      return token;
    });
    return server;
  };
  RestartServer();
}

void
FakeNetwork::RestartServer()
{
  mServer = mMakeServer();
}

TestCaller&
FakeNetwork::AddCaller()
{
  TestCaller& caller = *mCallers.emplace_back(std::make_unique<TestCaller>());
  caller.mAddress = { 0x7f000002, static_cast<uint16_t>(mCallers.size()) };
  auto sink = [this, &caller](std::span<const uint8_t> aBytes) {
    if (mRecord) {
      mRecorded.emplace_back(aBytes.begin(), aBytes.end());
    }
    const Address from = caller.mAddress;
    Transmit(aBytes, [this, from](std::span<const uint8_t> aData) {
      Inject(aData, from);
    });
  };
  caller.mConnection =
    std::make_unique<ClientConnection>(Credentials::ForInsecureClient(),
                                       QuicLimits{},
                                       "test",
                                       caller.mAddress,
                                       mService,
                                       sink,
                                       caller,
                                       mNow);
  return caller;
}

void
FakeNetwork::Transmit(std::span<const uint8_t> aBytes,
                      std::function<void(std::span<const uint8_t>)> aDeliver)
{
  const int copies = mRandom.Chance(mFaults.mDuplication) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (mRandom.Chance(mFaults.mLoss)) {
      continue;
    }
    std::vector<uint8_t> bytes(aBytes.begin(), aBytes.end());
    if (mRandom.Chance(mFaults.mMutation)) {
      const uint64_t changes = 1 + mRandom.Below(8);
      for (uint64_t n = 0; n < changes; ++n) {
        bytes[mRandom.Below(bytes.size())] ^=
          static_cast<uint8_t>(1 + mRandom.Below(255));
      }
    }
    Duration delay = kLinkDelay;
    if (mRandom.Chance(mFaults.mReordering)) {
      delay = mRandom.Jittered(5 * kLinkDelay / 2, 0.6);
    }
    mInFlight.emplace(
      mNow + delay, [aDeliver, bytes = std::move(bytes)] { aDeliver(bytes); });
  }
}

void
FakeNetwork::Inject(std::span<const uint8_t> aBytes, const Address& aFrom)
{
  if (mServer->HasConnectionFor(aBytes)) {
    mServer->OnDatagram(aBytes, aFrom, mNow);
  } else if (mRefuseAll) {
    mServer->Refuse(aBytes, aFrom);
  } else if (mServer->Accept(aBytes, aFrom, mNow)) {
    ++mAcceptedConnections;
  } else {
    mServer->SendStatelessReset(aBytes, aFrom);
  }
}

void
FakeNetwork::FlushAll()
{
  mServer->Flush(mNow);
  for (auto& caller : mCallers) {
    caller->mConnection->Flush(mNow);
  }
}

Instant
FakeNetwork::NextEvent() const
{
  Instant next = mServer->NextDeadline();
  for (const auto& caller : mCallers) {
    next = std::min(next, caller->mConnection->NextDeadline());
  }
  return mInFlight.empty() ? next : std::min(next, mInFlight.begin()->first);
}

bool
FakeNetwork::RunUntil(const std::function<bool()>& aDone, Duration aLimit)
{
  const Instant limit = mNow + aLimit;
  FlushAll();
  while (!aDone()) {
    const Instant next = std::max(mNow, NextEvent());
    if (next > limit) {
      mNow = limit;
      return false;
    }
    mNow = next;
    while (!mInFlight.empty() && mInFlight.begin()->first <= mNow) {
      auto deliver = std::move(mInFlight.begin()->second);
      mInFlight.erase(mInFlight.begin());
      deliver();
    }
    mServer->OnTimer(mNow);
    for (auto& caller : mCallers) {
      caller->mConnection->OnTimer(mNow);
    }
    FlushAll();
  }
  return true;
}

void
FakeNetwork::RespondToHeld(size_t aSize)
{
  for (auto& [request, exchange] : mExchanges) {
    if (exchange.mPath == "/hold" && !exchange.mResponding) {
      StartResponse(request, TestBytes(aSize));
    }
  }
}

void
FakeNetwork::StartResponse(RequestHandle aRequest, std::vector<uint8_t> aBody)
{
  Exchange& exchange = mExchanges.at(aRequest);
  exchange.mResponding = true;
  exchange.mBody = std::move(aBody);
  mServer->Respond(aRequest, { { ":status", "200" } }, false);
  SendRest(aRequest);
}

void
FakeNetwork::SendRest(RequestHandle aRequest)
{
  Exchange& exchange = mExchanges.at(aRequest);
  const auto rest =
    std::span<const uint8_t>(exchange.mBody).subspan(exchange.mSent);
  const size_t accepted = mServer->SendBody(aRequest, rest, true);
  mMaxBytesAccepted = std::max(mMaxBytesAccepted, accepted);
  exchange.mSent += accepted;
}

void
FakeNetwork::OnFlowOpened(ConnectionHandle aFlow)
{
  mOpenConnections.push_back(aFlow);
}

void
FakeNetwork::OnFlowClosed(ConnectionHandle aFlow, FlowCloseReason aReason)
{
  std::erase(mOpenConnections, aFlow);
  mCloseReasons.push_back(aReason);
}

void
FakeNetwork::OnRequestHeaders(RequestHandle aRequest, const HttpFields& aFields)
{
  const std::string path(FieldValue(aFields, ":path"));
  mRequestPaths.push_back(path);
  if (path == "/reject") {
    mServer->RejectRequest(aRequest);
    return;
  }
  mExchanges[aRequest].mPath = path;
}

void
FakeNetwork::OnRequestBody(RequestHandle aRequest,
                           std::span<const uint8_t> aBytes)
{
  auto& body = mExchanges.at(aRequest).mBody;
  body.insert(body.end(), aBytes.begin(), aBytes.end());
  mRequestBodyBytes += aBytes.size();
  if (mConsume) {
    mServer->ConsumeBody(aRequest, aBytes.size());
  }
}

void
FakeNetwork::OnRequestEnd(RequestHandle aRequest)
{
  const Exchange& exchange = mExchanges.at(aRequest);
  constexpr std::string_view kBytes = "/bytes/";
  if (exchange.mPath.starts_with(kBytes)) {
    const std::string count = exchange.mPath.substr(kBytes.size());
    StartResponse(aRequest, TestBytes(std::stoul(count)));
  } else if (exchange.mPath == "/echo") {
    StartResponse(aRequest, exchange.mBody);
  }
}

void
FakeNetwork::OnRequestCancelled(RequestHandle aRequest)
{
  ++mCancelledRequests;
  mExchanges.erase(aRequest);
}

void
FakeNetwork::OnResponseWritable(RequestHandle aRequest)
{
  SendRest(aRequest);
}

void
FakeNetwork::OnRequestDone(RequestHandle aRequest)
{
  ++mDoneRequests;
  mExchanges.erase(aRequest);
}

} // namespace snipepost::test
