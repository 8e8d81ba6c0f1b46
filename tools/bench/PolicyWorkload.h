#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <snipepost/Admission/Events.h>
#include <snipepost/Base/Types.h>

namespace snipepost::bench {

/// Endpoints of the interactive service and of the bulk service.
constexpr size_t kDeskServers = 7;
constexpr size_t kStoreServers = 3;
constexpr size_t kServers = kDeskServers + kStoreServers;

/// Slots of one endpoint.
constexpr uint32_t kSlots = 4;

/// A request as its caller plans it.
struct PlannedRequest
{
  /// Time after the start of the flow.
  Duration mOffset{};
  RequestClass mClass = RequestClass::Query;
  /// Time that a warm slot needs for it.
  Duration mWork{};
};

/// A flow as its caller plans it. Requests are sent at their times whether or
/// not earlier ones were answered, so arrivals are the same for every policy.
struct PlannedFlow
{
  Instant mOpen{};
  bool mToStore = false;
  /// The first flight has a second datagram that the fabric sprays on its own.
  bool mTwoDatagrams = false;
  uint64_t mKey = 0;
  std::vector<PlannedRequest> mRequests;
};

/// Time after which a caller has no use for an answer.
Duration
DeadlineOf(RequestClass aClass);

/// Flows that offer aLoad times the capacity of both services from aStart on.
std::vector<PlannedFlow>
MakeWorkload(double aLoad, Instant aStart, Duration aLength, uint64_t aSeed);

} // namespace snipepost::bench
