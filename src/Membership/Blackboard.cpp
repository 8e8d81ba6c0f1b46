#include <snipepost/Membership/Blackboard.h>

#include <xxhash.h>

namespace snipepost {

uint64_t
RankWeight(uint64_t aKey, const Address& aAddress)
{
  const uint64_t packed = (uint64_t{ aAddress.mIp } << 16) | aAddress.mPort;
  return XXH3_64bits_withSeed(&packed, sizeof packed, aKey);
}

bool
RanksBefore(uint64_t aKey, const Address& aLeft, const Address& aRight)
{
  const uint64_t left = RankWeight(aKey, aLeft);
  const uint64_t right = RankWeight(aKey, aRight);
  return left != right ? left > right : aLeft < aRight;
}

namespace {

template<typename Filter>
size_t
OwnRankAmong(const Blackboard& aBoard, uint64_t aKey, Filter aFilter)
{
  size_t rank = 0;
  for (const auto& [address, member] : aBoard.mMembers) {
    const bool counts = member.mRecord.mRole == InstanceRole::Entry &&
                        member.mRecord.mState != InstanceState::Left &&
                        address != aBoard.mOwn.mAddress &&
                        aFilter(member.mRecord) &&
                        !aBoard.mSuspects.contains(address);
    if (counts && RanksBefore(aKey, address, aBoard.mOwn.mAddress)) {
      ++rank;
    }
  }
  return rank;
}

} // namespace

size_t
OwnRank(const Blackboard& aBoard, uint64_t aKey)
{
  return OwnRankAmong(aBoard, aKey, [](const InstanceRecord&) { return true; });
}

bool
WatchesStore(const Blackboard& aBoard)
{
  if (aBoard.mOwn.mRole != InstanceRole::Entry) {
    return false;
  }
  const auto inOwnRegion = [&](const InstanceRecord& aRecord) {
    return aRecord.mRegion == aBoard.mOwn.mRegion;
  };
  const uint64_t key = RankKey(aBoard.mOptions.mDeployment);
  return OwnRankAmong(aBoard, key, inOwnRegion) < kStoreWatchersPerRegion;
}

bool
MayContact(const Blackboard& aBoard, const InstanceRecord& aRecord)
{
  return !aBoard.mDomainsOut.contains(aRecord.mDomain);
}

uint64_t
RankKey(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

uint64_t
RankKey(const Address& aAddress)
{
  // Arbitrary, but the same in all instances.
  constexpr uint64_t kSeed = 0x70726f6265727321;
  return RankWeight(kSeed, aAddress);
}

} // namespace snipepost
