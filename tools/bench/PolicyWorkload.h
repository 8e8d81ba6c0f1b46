#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <snipepost/Admission/Events.h>
#include <snipepost/Base/Types.h>

namespace snipepost::bench {

/// Backend servers of the interactive service and of the bulk service. Each has
/// an agent.
constexpr size_t kInteractiveServers = 7;
constexpr size_t kBulkServers = 3;
constexpr size_t kServers = kInteractiveServers + kBulkServers;

/// Slots of one backend server.
constexpr uint32_t kSlots = 4;

/// A request of the generated workload.
struct PlannedRequest
{
  /// Time after the start of the flow.
  Duration mOffset{};
  RequestClass mClass = RequestClass::Query;
  /// Processing time on a warm server.
  Duration mServiceTime{};
};

/// A flow of the generated workload. Requests are sent at their planned times
/// whether or not earlier ones were answered (open loop), so arrivals are the
/// same for every policy.
struct PlannedFlow
{
  Instant mStartTime{};
  bool mToBulkService = false;
  /// The first flight has a second datagram, which the fabric may deliver to
  /// another entry instance.
  bool mTwoDatagrams = false;
  uint64_t mKey = 0;
  std::vector<PlannedRequest> mRequests;
};

/// Time after which a response is of no use to the caller.
Duration
DeadlineOf(RequestClass aClass);

/// Flows that offer aLoad times the capacity of both services from aStart on.
std::vector<PlannedFlow>
MakeWorkload(double aLoad, Instant aStart, Duration aLength, uint64_t aSeed);

} // namespace snipepost::bench
