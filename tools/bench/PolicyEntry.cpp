#include "tools/bench/PolicyEntry.h"

#include "tools/bench/PolicyWorkload.h"

namespace snipepost::bench {

namespace {

constexpr uint32_t kFirstAgent = 0x7f000101;
constexpr size_t kDomains = 3;
const Address kInteractiveAddress{ 0x7f000001, 443 };
const Address kBulkAddress{ 0x7f000002, 443 };

std::unique_ptr<FirstPacketPolicy>
MakePolicy(PolicyKind aKind)
{
  switch (aKind) {
    case PolicyKind::Random:
      return MakeRandomPolicy();
    case PolicyKind::LeastLoaded:
      return MakeLeastLoadedPolicy();
    case PolicyKind::TwoChoices:
      return MakeTwoChoicesPolicy(std::chrono::seconds(1));
    case PolicyKind::Table:
    case PolicyKind::TableChained:
      return MakeTablePolicy();
    case PolicyKind::Hunting:
      break;
  }
  return MakeHuntingPolicy();
}

} // namespace

Address
AgentAddress(size_t aServer)
{
  return { kFirstAgent + static_cast<uint32_t>(aServer), 7000 };
}

size_t
ServerOf(const Address& aAgent)
{
  return aAgent.mIp - kFirstAgent;
}

size_t
DomainOf(size_t aNumber)
{
  return aNumber % kDomains;
}

EntryModel::EntryModel(PolicyKind aKind, uint64_t aSeed)
  : mKind(aKind)
  , mPolicy(MakePolicy(aKind))
  , mHints(kServers)
  , mRandom(aSeed)
{
}

void
EntryModel::Update(const std::vector<bool>& aEligible, const DomainSet& aOut)
{
  std::vector<ServiceView> services{ { ServiceId(1), kInteractiveAddress, {} },
                                     { ServiceId(2), kBulkAddress, {} } };
  for (size_t i = 0; i < kServers; ++i) {
    if (aEligible[i]) {
      services[i < kInteractiveServers ? 0 : 1].mEligible.push_back(
        { .mAgent = AgentAddress(i),
          .mDomain = DomainId(static_cast<uint8_t>(DomainOf(i))) });
    }
  }
  mSnapshot = RoutingSnapshot::Build(
    Generation(1), std::move(services), aOut, mSnapshot.get());
}

void
EntryModel::UpdateLoads(const std::vector<double>& aLoads, Instant aNow)
{
  for (size_t i = 0; i < kServers; ++i) {
    mHints[i] = { aLoads[i], aNow };
  }
}

CandidateChoice
EntryModel::Choose(bool aToBulkService, FlowKey aKey, Instant aNow)
{
  const ServiceRoutes& routes =
    *mSnapshot->Find(aToBulkService ? kBulkAddress : kInteractiveAddress);
  std::vector<LoadHint> hints;
  for (const Backend& backend : routes.mCurrent->mBackends) {
    hints.push_back(mHints[ServerOf(backend.mAgent)]);
  }
  CandidateChoice choice;
  choice.mCandidates =
    mPolicy->Choose({ *routes.mCurrent, hints, aKey, aNow }, mRandom);
  choice.mFromCurrentTable = static_cast<uint8_t>(choice.mCandidates.Size());
  const bool chained =
    mKind == PolicyKind::TableChained || mKind == PolicyKind::Hunting;
  if (chained && routes.mPrevious) {
    const auto previous =
      mPolicy->Choose({ *routes.mPrevious, {}, aKey, aNow }, mRandom);
    for (const Address& agent : previous.View()) {
      choice.mCandidates.Add(agent);
    }
  }
  return choice;
}

} // namespace snipepost::bench
