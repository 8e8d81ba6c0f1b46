#include <snipepost/Flow/Packet.h>

#include "src/Routing/Hash.h"

namespace snipepost::flow {

namespace {

constexpr uint64_t kFlowSeed = 0x666c6f7773000001;

} // namespace

uint64_t
FlowHash(const FlowTuple& aFlow)
{
  return HashAddress(aFlow.mCaller, HashAddress(aFlow.mService, kFlowSeed));
}

uint32_t
ServiceTag(std::string_view aService)
{
  const std::span bytes(reinterpret_cast<const uint8_t*>(aService.data()),
                        aService.size());
  return static_cast<uint32_t>(HashBytes(bytes));
}

} // namespace snipepost::flow
