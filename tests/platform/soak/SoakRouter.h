#pragma once

#include <array>
#include <memory>
#include <vector>

#include <asio.hpp>

#include <snipepost/Flow/Packet.h>
#include <snipepost/Http1/Client.h>

#include "tests/platform/soak/Layout.h"

namespace snipepost::soak {

/// The routers in front of the entry instances. They probe each instance twice
/// a second. The hash of a flow, modulo the number of instances in rotation,
/// selects its instance, so nearly all flows move when an instance joins or
/// leaves.
class SoakRouter
{
public:
  SoakRouter(asio::io_context& aContext, const Layout& aLayout);

  /// Probes all entry instances when the probe interval has passed.
  void Tick(Instant aNow);

  /// The entry instance that receives the packets of a flow from a failure
  /// domain.
  size_t EntryFor(const flow::FlowTuple& aFlow, size_t aDomain) const;

private:
  struct EntryState
  {
    std::unique_ptr<http1::Client> mClient;
    /// An instance starts out of rotation.
    uint32_t mFailedProbes = 2;
  };

  void Probe(size_t aEntry);
  bool InRotation(size_t aEntry) const;

  asio::io_context& mContext;
  const Layout& mLayout;
  std::array<EntryState, Layout::kEntries> mEntries;
  Instant mNextProbe;
};

} // namespace snipepost::soak
