#include <snipepost/Routing/FirstPacketPolicy.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace snipepost {

namespace {

// Load reports are sent with replies and probes, so those of an idle backend
// are seconds apart. A report that is several seconds old is of little use.
constexpr Duration kDefaultHalfLife = std::chrono::seconds(1);

CandidateList
SingleCandidate(const PolicyInput& aInput, size_t aIndex)
{
  CandidateList list;
  list.Add(aInput.mPool.mBackends[aIndex].mAgent);
  return list;
}

class RandomPolicy final : public FirstPacketPolicy
{
public:
  std::string_view Name() const override { return "random"; }

  CandidateList Choose(const PolicyInput& aInput,
                       Random& aRandom) const override
  {
    const size_t count = aInput.mPool.mBackends.size();
    return count == 0 ? CandidateList()
                      : SingleCandidate(aInput, aRandom.Below(count));
  }
};

class LeastLoadedPolicy final : public FirstPacketPolicy
{
public:
  std::string_view Name() const override { return "least-loaded"; }

  CandidateList Choose(const PolicyInput& aInput, Random&) const override
  {
    if (aInput.mPool.mBackends.empty()) {
      return {};
    }
    const auto best =
      std::ranges::min_element(aInput.mHints, {}, &LoadHint::mLoad);
    return SingleCandidate(aInput,
                           static_cast<size_t>(best - aInput.mHints.begin()));
  }
};

class TwoChoicesPolicy final : public FirstPacketPolicy
{
public:
  explicit TwoChoicesPolicy(Duration aHalfLife)
    : mHalfLife(aHalfLife)
  {
  }

  std::string_view Name() const override { return "two-choices"; }

  CandidateList Choose(const PolicyInput& aInput,
                       Random& aRandom) const override
  {
    const size_t count = aInput.mPool.mBackends.size();
    if (count == 0) {
      return {};
    }
    const size_t first = aRandom.Below(count);
    if (count == 1) {
      return SingleCandidate(aInput, first);
    }
    const size_t second = (first + 1 + aRandom.Below(count - 1)) % count;
    const double mean = std::accumulate(aInput.mHints.begin(),
                                        aInput.mHints.end(),
                                        0.0,
                                        [](double aSum, const LoadHint& aHint) {
                                          return aSum + aHint.mLoad;
                                        }) /
                        static_cast<double>(count);
    const bool preferFirst =
      DecayedLoad(aInput.mHints[first], mean, aInput.mNow) <=
      DecayedLoad(aInput.mHints[second], mean, aInput.mNow);
    return SingleCandidate(aInput, preferFirst ? first : second);
  }

private:
  double DecayedLoad(const LoadHint& aHint, double aMean, Instant aNow) const
  {
    const Duration age = std::max(aNow - aHint.mReported, Duration::zero());
    const double halfLives =
      static_cast<double>(age.count()) / static_cast<double>(mHalfLife.count());
    return aMean + (aHint.mLoad - aMean) * std::exp2(-halfLives);
  }

  Duration mHalfLife;
};

// Offers the flow to the first kCount candidates of the table.
template<size_t kCount>
class TableBasedPolicy final : public FirstPacketPolicy
{
public:
  explicit TableBasedPolicy(std::string_view aName)
    : mName(aName)
  {
  }

  std::string_view Name() const override { return mName; }

  CandidateList Choose(const PolicyInput& aInput, Random&) const override
  {
    std::array<uint16_t, kCount> picked{};
    const size_t count = aInput.mPool.mTable->Pick(aInput.mKey, picked);
    CandidateList list;
    for (size_t i = 0; i < count; ++i) {
      list.Add(aInput.mPool.mBackends[picked[i]].mAgent);
    }
    return list;
  }

private:
  std::string_view mName;
};

} // namespace

std::unique_ptr<FirstPacketPolicy>
MakeRandomPolicy()
{
  return std::make_unique<RandomPolicy>();
}

std::unique_ptr<FirstPacketPolicy>
MakeLeastLoadedPolicy()
{
  return std::make_unique<LeastLoadedPolicy>();
}

std::unique_ptr<FirstPacketPolicy>
MakeTwoChoicesPolicy(Duration aHalfLife)
{
  return std::make_unique<TwoChoicesPolicy>(aHalfLife);
}

std::unique_ptr<FirstPacketPolicy>
MakeTablePolicy()
{
  return std::make_unique<TableBasedPolicy<1>>("table");
}

std::unique_ptr<FirstPacketPolicy>
MakeHuntingPolicy()
{
  return std::make_unique<TableBasedPolicy<2>>("table-hunting");
}

std::vector<std::unique_ptr<FirstPacketPolicy>>
AllFirstPacketPolicies()
{
  std::vector<std::unique_ptr<FirstPacketPolicy>> policies;
  policies.push_back(MakeRandomPolicy());
  policies.push_back(MakeLeastLoadedPolicy());
  policies.push_back(MakeTwoChoicesPolicy(kDefaultHalfLife));
  policies.push_back(MakeTablePolicy());
  policies.push_back(MakeHuntingPolicy());
  return policies;
}

} // namespace snipepost
