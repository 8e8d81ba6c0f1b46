#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include <snipepost/Admission/Events.h>

namespace snipepost {

/// The open flows of an agent and their bound.
class ConnectionLimit
{
public:
  explicit ConnectionLimit(size_t aMax)
    : mMax(aMax)
  {
  }

  /// A smaller bound closes nothing; it only keeps new flows out.
  void Configure(size_t aMax) { mMax = aMax; }

  bool HasRoom() const { return mFlows.size() < mMax; }

  /// Adds a flow. Returns false, and adds nothing, when there is no room.
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

  /// The final GOAWAY went out on all open flows. They take no new requests
  /// even when the drain is called off (RFC 9114, section 5.2).
  void BeginClosing() { mClosing = Flows(); }

  bool IsClosing(FlowId aFlow) const { return mClosing.contains(aFlow); }

  /// Empties the set and returns what was in it.
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
