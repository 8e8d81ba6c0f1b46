#include <snipepost/Flow/RecordHistory.h>

#include <algorithm>
#include <iterator>

namespace snipepost::flow {

namespace {

/// Time in which an agent writes its record again after it has learned that the
/// record is missing.
constexpr Duration kDrainingRetention = std::chrono::seconds(2);

} // namespace

RecordHistory::RecordHistory(Duration aFlowLimit)
  : mFlowLimit(aFlowLimit)
{
}

void
RecordHistory::Update(const cluster::Replica& aReplica, Instant aNow)
{
  for (const auto& [name, record] : aReplica.Backends()) {
    const cluster::Revision created = aReplica.RecordCreated(name);
    const auto [found, isNew] = mRecords.try_emplace(name);
    KnownRecord& known = found->second;
    if (isNew || known.mRecord.mService != record.mService ||
        known.mRecord.mDomain != record.mDomain) {
      known = { record, created, created, aNow, std::nullopt };
      continue;
    }
    // A record that was removed and written again, also between two changes
    // that this instance received. The agent may own flows from before. After
    // the store was restored, the revision of the creation is unknown.
    const bool isCreatedAgain = known.mCreated != cluster::Revision() &&
                                created != cluster::Revision() &&
                                known.mCreated != created;
    if (known.mMissingSince || isCreatedAgain) {
      known.mMissingSince.reset();
      known.mKnownSince = aNow;
    }
    known.mRecord = record;
    known.mCreated = created;
  }
  for (auto at = mRecords.begin(); at != mRecords.end();) {
    KnownRecord& known = at->second;
    if (!aReplica.Backends().contains(at->first)) {
      known.mMissingSince = known.mMissingSince.value_or(aNow);
    }
    const bool isForgotten =
      known.mMissingSince && aNow - *known.mMissingSince > Retention(known);
    at = isForgotten ? mRecords.erase(at) : std::next(at);
  }
  mMissing =
    static_cast<size_t>(std::ranges::count_if(mRecords, [](const auto& aItem) {
      return aItem.second.mMissingSince.has_value();
    }));
}

Duration
RecordHistory::Retention(const KnownRecord& aRecord) const
{
  return aRecord.mRecord.mState == cluster::BackendState::Ready
           ? mFlowLimit
           : kDrainingRetention;
}

bool
RecordHistory::IsMissing(const std::string& aName) const
{
  const auto found = mRecords.find(aName);
  return found != mRecords.end() && found->second.mMissingSince.has_value();
}

const cluster::BackendRecord*
RecordHistory::FindAgent(cluster::NodeIp aAgent) const
{
  const cluster::BackendRecord* missing = nullptr;
  for (const auto& [name, known] : mRecords) {
    if (known.mRecord.mAgent.mIp != aAgent.Value()) {
      continue;
    }
    if (!known.mMissingSince) {
      return &known.mRecord;
    }
    missing = &known.mRecord;
  }
  return missing;
}

} // namespace snipepost::flow
