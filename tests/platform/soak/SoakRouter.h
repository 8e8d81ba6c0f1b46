#pragma once

#include <array>
#include <memory>
#include <vector>

#include <asio.hpp>

#include <snipepost/Flow/Packet.h>
#include <snipepost/Http1/Client.h>

#include "tests/platform/soak/Layout.h"

namespace snipepost::soak {

/// The routers before the entry instances: they probe each instance twice a
/// second and spread flows by a hash over those in rotation, so that nearly
/// all flows move when one joins or leaves.
class SoakRouter
{
public:
  SoakRouter(asio::io_context& aContext, const Layout& aLayout);

  /// Probes when it is time to.
  void Tick(Instant aNow);

  /// The entry instance that gets a packet of the flow from a failure domain.
  size_t EntryFor(const flow::FlowTuple& aFlow, size_t aDomain) const;

private:
  struct State
  {
    std::unique_ptr<http1::Client> mClient;
    uint32_t mMisses = 2;
  };

  void Probe(size_t aEntry);
  bool InRotation(size_t aEntry) const;

  asio::io_context& mContext;
  const Layout& mLayout;
  std::array<State, Layout::kEntries> mEntries;
  Instant mNextProbe;
};

} // namespace snipepost::soak
