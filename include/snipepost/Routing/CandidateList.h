#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <span>

#include <snipepost/Base/Address.h>

namespace snipepost {

/// Distinct agents to try for a flow, in order of preference. Stores at most
/// kCapacity addresses inline, so that a routing decision allocates nothing.
class CandidateList
{
public:
  static constexpr size_t kCapacity = 4;

  /// Appends aAgent unless the list already contains it or is full. Returns
  /// whether it was appended.
  bool Add(const Address& aAgent)
  {
    if (mCount == kCapacity || Contains(aAgent)) {
      return false;
    }
    mAgents[mCount++] = aAgent;
    return true;
  }

  bool Contains(const Address& aAgent) const
  {
    return std::ranges::find(View(), aAgent) != View().end();
  }

  std::span<const Address> View() const
  {
    return std::span(mAgents).first(mCount);
  }

  const Address& operator[](size_t aIndex) const { return mAgents[aIndex]; }
  size_t Size() const { return mCount; }
  bool IsEmpty() const { return mCount == 0; }

  bool operator==(const CandidateList& aOther) const
  {
    return std::ranges::equal(View(), aOther.View());
  }

private:
  std::array<Address, kCapacity> mAgents{};
  size_t mCount = 0;
};

} // namespace snipepost
