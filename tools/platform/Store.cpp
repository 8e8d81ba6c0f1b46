#include "Store.h"

#include <algorithm>
#include <utility>

namespace snipepost::tools {

namespace {

// At several hundred writes/s the history covers a few minutes.
constexpr size_t kMaxHistory = 100000;

} // namespace

const Change*
Store::Get(const std::string& aKey) const
{
  const auto found = mEntries.find(aKey);
  const bool exists = found != mEntries.end() && found->second.mValue;
  return exists ? &found->second : nullptr;
}

std::vector<const Change*>
Store::List(const std::string& aPrefix) const
{
  auto changes = ChangesAfter(aPrefix, 0);
  std::erase_if(changes,
                [](const Change* aChange) { return !aChange->mValue; });
  return changes;
}

std::vector<const Change*>
Store::ChangesAfter(const std::string& aPrefix, uint64_t aSince) const
{
  std::vector<const Change*> changes;
  for (auto at = mEntries.lower_bound(aPrefix);
       at != mEntries.end() && at->first.starts_with(aPrefix);
       ++at) {
    if (at->second.mRevision > aSince) {
      changes.push_back(&at->second);
    }
  }
  return changes;
}

const Change&
Store::Put(std::string aKey, std::string aValue, std::optional<Instant> aExpiry)
{
  return Apply({ mRevision + 1,
                 std::move(aKey),
                 std::make_shared<const std::string>(std::move(aValue)),
                 aExpiry });
}

const Change&
Store::Remove(std::string aKey)
{
  return Apply({ mRevision + 1, std::move(aKey), nullptr, std::nullopt });
}

const Change&
Store::Apply(Change aChange)
{
  mRevision = aChange.mRevision;
  mHistory.push_back(aChange);
  TrimHistory();
  return mEntries[aChange.mKey] = std::move(aChange);
}

void
Store::TrimHistory()
{
  if (mHistory.size() <= kMaxHistory) {
    return;
  }
  const auto half = mHistory.begin() + kMaxHistory / 2;
  for (auto at = mHistory.begin(); at != half; ++at) {
    mBaseRevision = at->mRevision;
    mBase[at->mKey] = std::move(*at);
  }
  mHistory.erase(mHistory.begin(), half);
}

std::vector<Change>
Store::Expire(Instant aNow)
{
  std::vector<std::string> expired;
  for (const auto& [key, entry] : mEntries) {
    if (entry.mExpiry && *entry.mExpiry <= aNow) {
      expired.push_back(key);
    }
  }
  std::vector<Change> removals;
  for (std::string& key : expired) {
    removals.push_back(Remove(std::move(key)));
  }
  return removals;
}

bool
Store::RollBack(uint64_t aRevision)
{
  if (aRevision < mBaseRevision || aRevision > mRevision) {
    return false;
  }
  std::erase_if(mHistory, [aRevision](const Change& aChange) {
    return aChange.mRevision > aRevision;
  });
  mEntries = mBase;
  for (const Change& change : mHistory) {
    mEntries[change.mKey] = change;
  }
  mRevision = aRevision;
  return true;
}

void
Store::Clear()
{
  *this = {};
}

} // namespace snipepost::tools
