#include "src/FlowDaemon/RecentRefusals.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace snipepost {

namespace {

/// Reason of the reset of an open flow, which is no refusal.
constexpr std::string_view kOwnerEnded = "owner-ended";

int64_t
SecondOf(Instant aTime)
{
  return std::chrono::floor<std::chrono::seconds>(aTime.time_since_epoch())
    .count();
}

size_t
SlotOf(int64_t aSecond)
{
  return static_cast<size_t>(aSecond) % RecentRefusals::kSeconds;
}

} // namespace

uint64_t
RecentRefusals::Entry::Total() const
{
  return std::accumulate(mFlows.begin(), mFlows.end(), uint64_t{ 0 });
}

void
RecentRefusals::OnDecision(const flow::Decision& aDecision, Instant aNow)
{
  if (aDecision.mVerdict != flow::Verdict::Rejected ||
      aDecision.mReason == kOwnerEnded) {
    return;
  }
  // When agents refused the flow, the reason of the last one is more specific.
  const bool refusedByAgent = aDecision.mRefusal != flow::Refusal::None;
  Add(aDecision.mFlow.mService,
      refusedByAgent ? flow::ToString(aDecision.mRefusal) : aDecision.mReason,
      aNow);
}

void
RecentRefusals::Add(const Address& aRoute,
                    std::string_view aReason,
                    Instant aNow)
{
  Advance(aNow);
  ++FindOrInsert(aRoute, aReason).mFlows[SlotOf(mSecond)];
}

std::vector<RecentRefusals::RouteCount>
RecentRefusals::Counts(Instant aNow)
{
  Advance(aNow);
  std::vector<RouteCount> counts;
  for (const Entry& entry : mEntries) {
    counts.push_back({ entry.mRoute, entry.mReason, entry.Total() });
  }
  if (const uint64_t other = mOther.Total(); other > 0) {
    counts.push_back({ {}, kOther, other });
  }
  return counts;
}

void
RecentRefusals::Advance(Instant aNow)
{
  const int64_t now = SecondOf(aNow);
  if (now <= mSecond) {
    return;
  }
  const int64_t first =
    std::max(mSecond + 1, now - static_cast<int64_t>(kSeconds) + 1);
  for (int64_t second = first; second <= now; ++second) {
    for (Entry& entry : mEntries) {
      entry.mFlows[SlotOf(second)] = 0;
    }
    mOther.mFlows[SlotOf(second)] = 0;
  }
  mSecond = now;
  std::erase_if(mEntries,
                [](const Entry& aEntry) { return aEntry.Total() == 0; });
}

RecentRefusals::Entry&
RecentRefusals::FindOrInsert(const Address& aRoute, std::string_view aReason)
{
  const auto at = std::ranges::lower_bound(
    mEntries, std::tuple(aRoute, aReason), {}, [](const Entry& aEntry) {
      return std::tuple(aEntry.mRoute, aEntry.mReason);
    });
  if (at != mEntries.end() && at->mRoute == aRoute && at->mReason == aReason) {
    return *at;
  }
  if (mEntries.size() >= kMaxCounts) {
    return mOther;
  }
  const auto position = at - mEntries.begin();
  mEntries.reserve(kMaxCounts);
  return *mEntries.insert(mEntries.begin() + position,
                          Entry{ aRoute, aReason });
}

} // namespace snipepost
