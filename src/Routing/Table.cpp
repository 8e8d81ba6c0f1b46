#include <snipepost/Routing/Table.h>

#include <algorithm>
#include <array>
#include <functional>
#include <tuple>

#include "src/Routing/Tables.h"

namespace snipepost {

namespace {

using Builder = std::shared_ptr<const Table> (*)(std::span<const Backend>);

template<typename T>
std::shared_ptr<const Table>
Make(std::span<const Backend> aBackends)
{
  return std::make_shared<const T>(aBackends);
}

// Indexed by TableKind.
constexpr std::array<Builder, 2> kBuilders{ Make<MaglevTable>,
                                            Make<RendezvousTable> };

} // namespace

std::shared_ptr<const Table>
BuildTable(TableKind aKind, std::span<const Backend> aBackends)
{
  return kBuilders[static_cast<size_t>(aKind)](aBackends);
}

std::vector<Backend>
NormalizeBackends(std::vector<Backend> aBackends)
{
  std::erase_if(aBackends, [](const Backend& aB) { return aB.mWeight == 0; });
  // The highest incarnation of an address comes first, so that it is kept.
  std::ranges::sort(aBackends, [](const Backend& aLeft, const Backend& aRight) {
    return std::tie(
             aLeft.mAgent, aRight.mIncarnation, aLeft.mDomain, aLeft.mWeight) <
           std::tie(
             aRight.mAgent, aLeft.mIncarnation, aRight.mDomain, aRight.mWeight);
  });
  const auto repeated =
    std::unique(aBackends.begin(),
                aBackends.end(),
                [](const Backend& aLeft, const Backend& aRight) {
                  return aLeft.mAgent == aRight.mAgent;
                });
  aBackends.erase(repeated, aBackends.end());
  return aBackends;
}

} // namespace snipepost
