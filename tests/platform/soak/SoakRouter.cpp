#include "tests/platform/soak/SoakRouter.h"

namespace snipepost::soak {

namespace {

constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);
/// Consecutive failed probes after which an instance is out of rotation.
constexpr uint32_t kMaxFailedProbes = 2;

} // namespace

SoakRouter::SoakRouter(asio::io_context& aContext, const Layout& aLayout)
  : mContext(aContext)
  , mLayout(aLayout)
{
}

void
SoakRouter::Tick(Instant aNow)
{
  if (aNow < mNextProbe) {
    return;
  }
  mNextProbe = aNow + kProbeInterval;
  for (size_t entry = 0; entry < Layout::kEntries; ++entry) {
    Probe(entry);
  }
}

void
SoakRouter::Probe(size_t aEntry)
{
  EntryState& state = mEntries[aEntry];
  state.mClient = std::make_unique<http1::Client>(
    mContext, mLayout.BindAddress(aEntry, Layout::kReadinessPort));
  state.mClient->Call(
    { "GET", "/-/ready", {} },
    kProbeTimeout,
    [&state](http1::Result aResult, const http1::Response& aResponse) {
      const bool ready =
        aResult == http1::Result::Ok && aResponse.mStatus == 200;
      state.mFailedProbes = ready ? 0 : state.mFailedProbes + 1;
    });
}

bool
SoakRouter::InRotation(size_t aEntry) const
{
  return mEntries[aEntry].mFailedProbes < kMaxFailedProbes;
}

size_t
SoakRouter::EntryFor(const flow::FlowTuple& aFlow, size_t aDomain) const
{
  std::vector<size_t> all;
  std::vector<size_t> targets;
  std::vector<size_t> elsewhere;
  for (size_t entry = 0; entry < Layout::kEntries; ++entry) {
    if (Layout::DomainOf(entry) == aDomain) {
      all.push_back(entry);
      if (InRotation(entry)) {
        targets.push_back(entry);
      }
    } else if (InRotation(entry)) {
      elsewhere.push_back(entry);
    }
  }
  // If fewer than half of the domain's instances are in rotation, all of them
  // are used; if none is, the instances in rotation of other domains.
  if (targets.empty()) {
    targets = elsewhere.empty() ? all : elsewhere;
  } else if (targets.size() * 2 < all.size()) {
    targets = all;
  }
  return targets[flow::FlowHash(aFlow) % targets.size()];
}

} // namespace snipepost::soak
