#include <src/Daemon/ReturnPaths.h>

#include <chrono>

namespace snipepost {

using namespace std::chrono_literals;

namespace {

/// An entry instance that was silent for this long is not used. Without traffic
/// it is heard by probes, at most 1,150 ms apart (1 s, a tenth of spread and a
/// tick). A lost probe is repeated after 250 ms, so that a live one is left out
/// for some 300 ms then, while others carry the packets. A longer time would
/// keep dead ones in use for longer.
constexpr Duration kLiveTime = 1200ms;
/// A flow that heard from its entry instance within this time keeps to it; the
/// repetitions of a lost packet come later and take another path.
constexpr Duration kStickyTime = 100ms;

} // namespace

void
ReturnPaths::Heard(const Address& aEntry, Instant aNow)
{
  mLive[aEntry] = aNow;
}

void
ReturnPaths::Heard(ConnectionHandle aFlow, const Address& aEntry, Instant aNow)
{
  Heard(aEntry, aNow);
  mFlows[aFlow] = { aEntry, aNow };
}

std::optional<Address>
ReturnPaths::Choose(ConnectionHandle aFlow, Instant aNow)
{
  const auto flow = mFlows.find(aFlow);
  if (flow != mFlows.end() && aNow - flow->second.mHeard < kStickyTime) {
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
  DropSilent(aNow);
  if (mLive.empty()) {
    return std::nullopt;
  }
  auto next = mLive.upper_bound(mLast);
  if (next == mLive.end()) {
    next = mLive.begin();
  }
  mLast = next->first;
  return mLast;
}

void
ReturnPaths::DropSilent(Instant aNow)
{
  std::erase_if(mLive, [aNow](const auto& aEntry) {
    return aEntry.second + kLiveTime < aNow;
  });
}

size_t
ReturnPaths::LiveCount(Instant aNow)
{
  DropSilent(aNow);
  return mLive.size();
}

} // namespace snipepost
