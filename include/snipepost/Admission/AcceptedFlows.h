#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include <snipepost/Admission/Events.h>

namespace snipepost {

/// The open flows of an agent, up to a maximum number.
class AcceptedFlows
{
public:
  explicit AcceptedFlows(size_t aMax)
    : mMax(aMax)
  {
  }

  /// Sets the maximum. Open flows above a lower maximum stay open.
  void Configure(size_t aMax) { mMax = aMax; }

  bool HasRoom() const { return mFlows.size() < mMax; }

  /// Adds a flow. Returns false when the maximum is reached.
  bool Open(FlowId aFlow, Instant aNow)
  {
    return mFlows.contains(aFlow) ||
           (HasRoom() && mFlows.emplace(aFlow, aNow).second);
  }

  /// When an open flow was opened.
  std::optional<Instant> OpenedAt(FlowId aFlow) const
  {
    const auto found = mFlows.find(aFlow);
    return found == mFlows.end() ? std::nullopt : std::optional(found->second);
  }

  void Close(FlowId aFlow)
  {
    mFlows.erase(aFlow);
    mClosing.erase(aFlow);
  }

  /// Marks all open flows as closing, after the final GOAWAY was sent on them.
  /// They accept no new requests even when the drain is cancelled (RFC 9114,
  /// section 5.2).
  void BeginClosing() { mClosing = Flows(); }

  bool IsClosing(FlowId aFlow) const { return mClosing.contains(aFlow); }

  /// Removes and returns all flows.
  std::set<FlowId> TakeAll()
  {
    std::set<FlowId> all = Flows();
    mClosing.clear();
    mFlows.clear();
    return all;
  }

  bool Contains(FlowId aFlow) const { return mFlows.contains(aFlow); }
  size_t Count() const { return mFlows.size(); }

private:
  std::set<FlowId> Flows() const
  {
    std::set<FlowId> all;
    for (const auto& [flow, opened] : mFlows) {
      all.insert(flow);
    }
    return all;
  }

  size_t mMax;
  std::map<FlowId, Instant> mFlows;
  std::set<FlowId> mClosing;
};

} // namespace snipepost
