#pragma once

#include <cstdint>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// Routing data of a backend server: the address of its agent, its failure
/// domain, its share of new flows relative to the other backends of its service
/// (0 receives none), and the low 16 bits of its incarnation.
struct Backend
{
  Address mAgent;
  DomainId mDomain;
  uint16_t mWeight = 1;
  uint16_t mIncarnation = 0;

  bool operator==(const Backend&) const = default;
};

} // namespace snipepost
