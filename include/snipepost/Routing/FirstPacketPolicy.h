#pragma once

#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include <snipepost/Base/Random.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Routing/CandidateList.h>
#include <snipepost/Routing/RoutingSnapshot.h>

namespace snipepost {

/// Last known load of a backend, from 0 (idle) upwards, and when it was
/// reported.
struct LoadHint
{
  double mLoad = 0;
  Instant mReported;
};

/// Input of a policy. mHints holds one entry for each backend of the
/// pool, in the same order; policies that need no hints accept an empty span.
struct PolicyInput
{
  const BackendPool& mPool;
  std::span<const LoadHint> mHints;
  FlowKey mKey;
  Instant mNow;
};

/// Chooses the agents that are offered the first packet of a flow. The agent
/// that receives it may forward it to later candidates (daisy chaining).
/// EntryRouter implements the table policy with hunting (see
/// MakeHuntingPolicy); the other policies are baselines for measurements.
class FirstPacketPolicy
{
public:
  virtual ~FirstPacketPolicy() = default;

  virtual std::string_view Name() const = 0;

  /// Candidates in order of preference; empty only when the pool is empty.
  virtual CandidateList Choose(const PolicyInput& aInput,
                               Random& aRandom) const = 0;
};

/// A backend chosen at random.
std::unique_ptr<FirstPacketPolicy>
MakeRandomPolicy();

/// The backend with the lowest hint, regardless of the hint's age; the first
/// one on a tie.
std::unique_ptr<FirstPacketPolicy>
MakeLeastLoadedPolicy();

/// The less loaded of two distinct random backends (Mitzenmacher, 2001). After
/// each aHalfLife, a hint's difference from the mean of all hints counts half
/// as much, so that old hints don't send all flows to the same backend.
std::unique_ptr<FirstPacketPolicy>
MakeTwoChoicesPolicy(Duration aHalfLife);

/// The first candidate of the table, without daisy chaining.
std::unique_ptr<FirstPacketPolicy>
MakeTablePolicy();

/// Hunting: two candidates of the table, the first of which may forward the
/// packet to the second.
std::unique_ptr<FirstPacketPolicy>
MakeHuntingPolicy();

/// All policies with their default parameters.
std::vector<std::unique_ptr<FirstPacketPolicy>>
AllFirstPacketPolicies();

} // namespace snipepost
