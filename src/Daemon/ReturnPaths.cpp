#include <src/Daemon/ReturnPaths.h>

#include <chrono>

namespace snipepost {

using namespace std::chrono_literals;

namespace {

/// An entry instance without contact for this long is not used. One without
/// traffic still sends probes at most 1,150 ms apart: the interval of 1 s, 10%
/// of jitter and one clock tick. A lost probe is repeated after
/// 250 ms; a live entry instance is then unused for some 300 ms, and the others
/// relay the packets. A longer timeout would keep failed entry instances in use
/// for longer.
constexpr Duration kContactTimeout = 1200ms;
/// A flow that received a packet within this time keeps its entry instance.
/// Retransmissions of a lost packet are sent later and take another path.
constexpr Duration kStickyTime = 100ms;

} // namespace

void
ReturnPaths::RecordContact(const Address& aEntry, Instant aNow)
{
  mLive[aEntry] = aNow;
}

void
ReturnPaths::RecordContact(ConnectionHandle aFlow,
                           const Address& aEntry,
                           Instant aNow)
{
  RecordContact(aEntry, aNow);
  mFlows[aFlow] = { aEntry, aNow };
}

std::optional<Address>
ReturnPaths::Choose(ConnectionHandle aFlow, Instant aNow)
{
  const auto flow = mFlows.find(aFlow);
  if (flow != mFlows.end() && aNow - flow->second.mLastContact < kStickyTime) {
    return flow->second.mEntry;
  }
  if (const auto live = NextLive(aNow)) {
    return live;
  }
  if (!mSeeds.empty()) {
    return mSeeds[mNextSeed++ % mSeeds.size()];
  }
  if (flow != mFlows.end()) {
    return flow->second.mEntry;
  }
  return std::nullopt;
}

std::optional<Address>
ReturnPaths::NextLive(Instant aNow)
{
  EvictExpired(aNow);
  if (mLive.empty()) {
    return std::nullopt;
  }
  auto next = mLive.upper_bound(mLastChosen);
  if (next == mLive.end()) {
    next = mLive.begin();
  }
  mLastChosen = next->first;
  return mLastChosen;
}

void
ReturnPaths::EvictExpired(Instant aNow)
{
  std::erase_if(mLive, [aNow](const auto& aContact) {
    return aContact.second + kContactTimeout < aNow;
  });
}

size_t
ReturnPaths::LiveCount(Instant aNow)
{
  EvictExpired(aNow);
  return mLive.size();
}

} // namespace snipepost
