#pragma once

#include <cstddef>
#include <set>
#include <utility>

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
  bool Open(FlowId aFlow)
  {
    return mFlows.contains(aFlow) || (HasRoom() && mFlows.insert(aFlow).second);
  }

  void Close(FlowId aFlow)
  {
    mFlows.erase(aFlow);
    mClosing.erase(aFlow);
  }

  /// The final GOAWAY went out on all open flows. They take no new requests
  /// even when the drain is called off (RFC 9114, section 5.2).
  void BeginClosing() { mClosing = mFlows; }

  bool IsClosing(FlowId aFlow) const { return mClosing.contains(aFlow); }

  /// Empties the set and returns what was in it.
  std::set<FlowId> TakeAll()
  {
    mClosing.clear();
    return std::exchange(mFlows, {});
  }

  bool Contains(FlowId aFlow) const { return mFlows.contains(aFlow); }
  size_t Count() const { return mFlows.size(); }

private:
  size_t mMax;
  std::set<FlowId> mFlows;
  std::set<FlowId> mClosing;
};

} // namespace snipepost
