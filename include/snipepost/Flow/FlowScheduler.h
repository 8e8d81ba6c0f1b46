#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <snipepost/Cluster/RouteConfig.h>
#include <snipepost/Flow/BackendCapacity.h>
#include <snipepost/Flow/FlowQueue.h>
#include <snipepost/Flow/NodeMessage.h>
#include <snipepost/Flow/Packet.h>
#include <snipepost/Flow/RequestQueue.h>

namespace snipepost::flow {

/// Decides which new flows an agent forwards to its backend server at once,
/// which wait at the agent, and which are refused; and which requests on open
/// flows wait at the agent, in one order with the new flows. The server gets at
/// most its slots and a small look-ahead, so that the order of service follows
/// the priorities and target latencies of the routes and not the server's
/// queue.
///
/// Active while the routes that send new flows to the service have different
/// priorities. Does no I/O; the time is an argument.
class FlowScheduler
{
public:
  /// What happens to an offered flow.
  enum class Outcome : uint8_t
  {
    Forwarded,
    /// The flow was added to the queue.
    Queued,
    /// No slot is free, and the offer requires one.
    NoFreeSlot,
    /// The response would be late, or the queue is full.
    TooLate,
  };

  /// The backend server as the agent sees it.
  struct ServerLoad
  {
    /// Requests that the server processes or queues, and flows that are being
    /// opened.
    uint32_t mRequests = 0;
    uint32_t mSlots = 1;
  };

  FlowScheduler(std::string aService, bool aAllowed);

  /// Sets the configuration from which the priorities of the service's routes
  /// are taken.
  void SetConfig(std::shared_ptr<const cluster::RouteConfig> aConfig);
  /// Whether the service's routes have different priorities and scheduling is
  /// allowed.
  bool Active() const { return mLevels.size() > 1; }

  /// The flow of a SYN, as it would wait at aNow. Nothing when the SYN's route
  /// is unknown.
  std::optional<WaitingFlow> MakeFlow(const Packet& aSyn,
                                      cluster::NodeIp aEntry,
                                      const ServerLoad& aLoad,
                                      Instant aNow) const;

  /// Decides about a flow that isn't queued. aEvicted receives the flows that
  /// have to be refused instead; they haven't run.
  Outcome Offer(WaitingFlow aFlow,
                TransitMark aMark,
                const ServerLoad& aLoad,
                std::vector<WaitingFlow>& aEvicted,
                Instant aNow);

  /// The request that a data packet starts on an open flow, without packets, as
  /// it would wait at aNow. Nothing when the flow's route is unknown.
  std::optional<WaitingRequest> MakeRequest(const FlowTuple& aFlow,
                                            const ServerLoad& aLoad,
                                            Instant aNow) const;

  /// A new flow or a request, or neither.
  using Item = std::variant<std::monostate, WaitingFlow, WaitingRequest>;

  /// The next flow or request to forward; neither while the server is busy.
  /// Only requests unless aAdmitsFlows.
  Item Next(const ServerLoad& aLoad, bool aAdmitsFlows, Instant aNow);

  /// Removes and returns the new flows that must be refused now; see
  /// FlowQueue::TakeRefused().
  std::vector<WaitingFlow> TakeRefused(Instant aNow);

  /// Whether a flow or a request waits.
  bool AnyWaiting() const { return mQueue.Size() + mRequests.Size() > 0; }

  /// Whether the server can take a request and nothing waits.
  bool HasRoom(const ServerLoad& aLoad, Instant aNow) const;

  /// Expected waits of new flows by priority, most urgent first.
  std::vector<ReportedWait> Waits(const ServerLoad& aLoad, Instant aNow) const;

  FlowQueue& Queue() { return mQueue; }
  const FlowQueue& Queue() const { return mQueue; }
  RequestQueue& Requests() { return mRequests; }
  const RequestQueue& Requests() const { return mRequests; }
  BackendCapacity& Capacity() { return mCapacity; }
  const BackendCapacity& Capacity() const { return mCapacity; }
  /// Forgets what was learnt from an earlier incarnation of the server.
  void ResetCapacity() { mCapacity = BackendCapacity(); }

private:
  /// A priority of the service's routes, with its shortest target latency.
  struct Level
  {
    uint32_t mPriority = 0;
    Duration mObjective{};
  };

  /// Requests that the server may have at once: its slots and the look-ahead.
  uint32_t Window(const ServerLoad& aLoad, Instant aNow) const;
  /// Expected time until the server can take a flow, without the queues.
  Duration WaitAtServer(const ServerLoad& aLoad, Instant aNow) const;
  /// Expected time until a flow that would be added leaves the queue.
  Duration WaitAhead(const QueuePosition& aPosition,
                     const ServerLoad& aLoad,
                     Instant aNow) const;
  /// Expected time from forwarding a SYN until the response.
  Duration TimeToResponse(const Address& aRoute,
                          const ServerLoad& aLoad,
                          Instant aNow) const;

  std::string mService;
  bool mAllowed = true;
  std::shared_ptr<const cluster::RouteConfig> mConfig;
  /// By priority; empty while the setting forbids scheduling.
  std::vector<Level> mLevels;
  FlowQueue mQueue;
  RequestQueue mRequests;
  BackendCapacity mCapacity;
};

} // namespace snipepost::flow
