#include <src/Daemon/PeerClients.h>

#include <array>
#include <charconv>
#include <vector>

namespace snipepost {

namespace {

std::optional<uint64_t>
ComputeTag(const KeyRing& aKeys,
           uint8_t aSlot,
           std::string_view aMethod,
           std::string_view aPath,
           std::string_view aBody)
{
  std::vector<uint8_t> bytes;
  bytes.reserve(aMethod.size() + aPath.size() + aBody.size() + 2);
  for (std::string_view part : { aMethod, aPath, aBody }) {
    bytes.insert(bytes.end(), part.begin(), part.end());
    bytes.push_back('\n');
  }
  return aKeys.Tag(aSlot, bytes);
}

} // namespace

std::string
SignRequest(const KeyRing& aKeys,
            std::string_view aMethod,
            std::string_view aPath,
            std::string_view aBody)
{
  const uint8_t slot = aKeys.ActiveSlot();
  const uint64_t tag = *ComputeTag(aKeys, slot, aMethod, aPath, aBody);
  std::array<char, 16> digits;
  const auto end =
    std::to_chars(digits.data(), digits.data() + digits.size(), tag, 16);
  return std::to_string(slot) + "-" + std::string(digits.data(), end.ptr);
}

bool
VerifyRequest(const KeyRing& aKeys,
              std::string_view aTag,
              std::string_view aMethod,
              std::string_view aPath,
              std::string_view aBody)
{
  if (aTag.size() < 3 || (aTag[0] != '0' && aTag[0] != '1') || aTag[1] != '-') {
    return false;
  }
  uint64_t tag = 0;
  const char* end = aTag.data() + aTag.size();
  const auto parsed = std::from_chars(aTag.data() + 2, end, tag, 16);
  const auto expected = ComputeTag(
    aKeys, static_cast<uint8_t>(aTag[0] - '0'), aMethod, aPath, aBody);
  return parsed.ec == std::errc{} && parsed.ptr == end && expected &&
         TagsEqual(*expected, tag);
}

PeerClients::PeerClients(asio::io_context& aContext, const KeyRing& aKeys)
  : mContext(aContext)
  , mKeys(aKeys)
{
}

void
PeerClients::Call(const Address& aPeer,
                  http2::Request aRequest,
                  size_t aLimit,
                  Instant aNow,
                  Done aDone)
{
  auto& peer = mPeers[aPeer];
  if (!peer) {
    peer = std::make_shared<Peer>();
    peer->mClient = std::make_unique<http2::Client>(mContext, aPeer);
  }
  peer->mLastUse = aNow;
  ++peer->mOpenCalls;
  aRequest.mHeaders.emplace_back(
    kTagHeader,
    SignRequest(mKeys, aRequest.mMethod, aRequest.mPath, aRequest.mBody));
  const auto done = [peer = std::weak_ptr(peer), aDone = std::move(aDone)](
                      http2::Result aResult, http2::Response aResponse) {
    if (const auto live = peer.lock()) {
      --live->mOpenCalls;
    }
    aDone(aResult, std::move(aResponse));
  };
  peer->mClient->Collect(std::move(aRequest), aLimit, done);
}

void
PeerClients::CloseIdle(Instant aIdleSince)
{
  std::erase_if(mPeers, [aIdleSince](const auto& aEntry) {
    return aEntry.second->mOpenCalls == 0 &&
           aEntry.second->mLastUse < aIdleSince;
  });
}

} // namespace snipepost
