#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Flow/Decision.h>

namespace snipepost {

/// Counts the new flows that an entry instance refused in the last 10 s by
/// route and reason, for its status. The memory is bounded and is allocated
/// with the first refusal. Does no I/O; the time is an argument.
class RecentRefusals
{
public:
  /// Flows that were refused within the last kSeconds, of which the current one
  /// is incomplete, are counted.
  static constexpr size_t kSeconds = 10;
  /// Pairs of route and reason with a count of their own. A deployment has
  /// hundreds of routes, and overload refuses for one or two reasons.
  static constexpr size_t kMaxCounts = 512;
  /// The reason, with a null route, of the refusals beyond kMaxCounts.
  static constexpr std::string_view kOther = "other";

  struct RouteCount
  {
    Address mRoute;
    std::string_view mReason;
    uint64_t mFlows = 0;
  };

  /// Counts a decision that refused a new flow; ignores others. A SYN that was
  /// dropped because its retransmission may be accepted is not refused.
  void OnDecision(const flow::Decision& aDecision, Instant aNow);

  /// Counts a flow. aReason must have static storage duration.
  void Add(const Address& aRoute, std::string_view aReason, Instant aNow);

  /// The counts above 0, by route and reason.
  std::vector<RouteCount> Counts(Instant aNow);

private:
  struct Entry
  {
    Address mRoute;
    std::string_view mReason;
    /// By second, modulo kSeconds.
    std::array<uint32_t, kSeconds> mFlows{};

    uint64_t Total() const;
  };

  /// Removes the counts that are too old.
  void Advance(Instant aNow);
  /// The entry of a pair; that of kOther when the others are in use.
  Entry& FindOrInsert(const Address& aRoute, std::string_view aReason);

  /// By route and reason.
  std::vector<Entry> mEntries;
  Entry mOther;
  /// The second of the latest call, in seconds of the monotonic clock.
  int64_t mSecond = 0;
};

} // namespace snipepost
