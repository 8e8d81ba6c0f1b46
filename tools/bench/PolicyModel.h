#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <snipepost/Admission/Events.h>
#include <snipepost/Admission/Options.h>

namespace snipepost::bench {

/// One-way delays of the network of a site.
struct Site
{
  const char* mName;
  Duration mBetweenDomains;
  Duration mToCallers;
};

/// First-packet policies that are compared.
enum class PolicyKind : uint8_t
{
  Random,
  LeastLoaded,
  TwoChoices,
  Table,
  /// Packets of unknown flows are forwarded to candidates of the previous
  /// table.
  TableChained,
  /// Hunting with two candidates. Chained like TableChained.
  Hunting
};

enum class ModelScenario : uint8_t
{
  Steady,
  /// A failure domain is out from 5 s to 10 s; its servers return cold.
  DomainLeaves,
  /// Server 0 drains at 4 s; servers 1 to 3 restart at 4, 7 and 10 s.
  RollingRestart
};

struct ModelOptions
{
  Site mSite;
  PolicyKind mPolicy = PolicyKind::Hunting;
  ModelScenario mScenario = ModelScenario::Steady;
  /// Offered work relative to the capacity of all slots.
  double mLoad = 0.6;
  uint64_t mSeed = 1;
  Duration mLength{};
  /// Settings of every agent; addresses and incarnations are filled in.
  AgentOptions mAgent{};
  AgentConfig mConfig{};
};

/// Figures of one interval of 100 ms (kBucketTime).
struct ModelBucket
{
  /// Requests answered in time, by the time of the response.
  size_t mGood = 0;
  /// Latencies of submissions and queries, in ms.
  std::vector<double> mLatencies;
};

constexpr Duration kBucketTime = std::chrono::milliseconds(100);

struct ModelResult
{
  size_t mRequests = 0;
  /// Requests answered in time.
  size_t mGood = 0;
  /// Requests that were certainly not run.
  size_t mNotRun = 0;
  /// Requests that may or may not have run.
  size_t mUnknown = 0;
  /// Accepted flows that their agent closed before their last request, and
  /// flows whose second datagram did not reach the owner on any transmission.
  size_t mBrokenFlows = 0;
  /// Flows that no agent accepted in 4 connection attempts.
  size_t mRefusedFlows = 0;
  /// Requests that a cold server received beyond its capacity.
  size_t mColdOverloads = 0;
  /// Sum of the planned service times of requests answered in time, in seconds.
  double mGoodWork = 0;
  std::array<size_t, 3> mGoodByClass{};
  std::array<size_t, 3> mRequestsByClass{};
  /// Latencies of answered requests in ms, by class.
  std::array<std::vector<double>, 3> mLatencies;
  /// Number of requests forwarded to each server of the interactive service.
  std::vector<size_t> mRequestsPerServer;
  /// (in flight + queued) / slots of each agent of the interactive service,
  /// every 10 ms.
  std::vector<double> mOccupancy;
  std::vector<ModelBucket> mBuckets;
};

/// Simulates callers, entry instances and servers in virtual time with the real
/// agent cores, policies and routing snapshots. Deterministic.
ModelResult
RunPolicyModel(const ModelOptions& aOptions);

} // namespace snipepost::bench
