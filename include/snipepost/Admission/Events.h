#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// Number of an accepted flow (QUIC connection), unique within one agent.
using FlowId = StrongType<struct FlowIdTag, uint64_t>;

/// Number of a request, unique within one agent and never reused.
using RequestId = StrongType<struct RequestIdTag, uint64_t>;

/// A complete response, encoded by the daemon; opaque to this module.
using ResponseBytes = std::shared_ptr<const std::string>;

/// Classes of requests in order of priority, highest first.
enum class RequestClass : uint8_t
{
  Submission,
  Query,
  Bulk
};

/// How a packet relates to the flows of this agent.
enum class PacketKind : uint8_t
{
  /// The agent owns the flow of the packet.
  Owned,
  /// The first packet (QUIC Initial) of a flow that the agent doesn't own.
  Initial,
  /// Any other packet of a flow that the agent doesn't own.
  Unknown
};

/// A received datagram, before it reaches the QUIC layer.
struct ReceivedPacket
{
  PacketKind mKind = PacketKind::Initial;
  /// Position of this agent in the packet's list of candidates.
  uint8_t mOwnIndex = 0;
  /// Number of candidates in the list, at most 4.
  uint8_t mCandidates = 1;
  /// Number of candidates from the current table (1 or 2), at the head of the
  /// list; the others come from the previous table.
  uint8_t mFromCurrentTable = 1;
  /// Hop count of the packet header; 0 for a packet from an entry instance.
  uint8_t mHops = 0;
};

/// What to do with a ReceivedPacket.
struct HuntingDecision
{
  enum class Action : uint8_t
  {
    Accept,
    ForwardToCandidate,
    /// Notify the caller that the flow was refused.
    Refuse,
    /// Discard without a reply.
    Drop
  };
  Action mAction = Action::Refuse;
  /// Index of the candidate that receives the packet; only for
  /// ForwardToCandidate.
  uint8_t mCandidate = 0;

  bool operator==(const HuntingDecision&) const = default;
};

/// The QUIC layer created a flow.
struct FlowOpened
{
  FlowId mFlow{};
};

/// A flow was closed by either side or by idle timeout. Requests of the flow no
/// longer need a response.
struct FlowClosed
{
  FlowId mFlow{};
};

/// The header section of a request is complete.
struct RequestArrived
{
  RequestId mRequest{};
  /// Absent when another agent relayed the request over a control stream.
  std::optional<FlowId> mFlow{};
  RequestClass mClass = RequestClass::Query;
  /// True when running the request twice is harmless (GET, HEAD).
  bool mIdempotent = true;
  /// Value of the idempotency-key header field, empty when absent. Ignored for
  /// idempotent requests.
  std::string mKey{};
  /// Hash of method, path and body. A request whose key was first used with a
  /// different hash doesn't get the stored response.
  uint64_t mDigest = 0;
  /// The caller doesn't need a response after this time.
  Instant mDeadline{};
};

/// The caller reset the stream of a request.
struct RequestCancelled
{
  RequestId mRequest{};
};

/// The agent named in a Relay effect responded, or the relay failed. The daemon
/// has sent the outcome to the caller.
struct RelayFinished
{
  RequestId mRequest{};
};

/// How an attempt, that is, one call to the backend server, ended.
enum class BackendOutcome : uint8_t
{
  /// The response is complete.
  Answered,
  /// REFUSED_STREAM: the backend server did not process the request.
  Refused,
  /// The backend server responded that it is overloaded (503). The response is
  /// sent to the caller like any other, since it doesn't prove that the request
  /// did not run.
  Shed,
  /// The connection or the stream ended before the response was complete.
  Broken,
  /// No complete response within the time limit.
  TimedOut
};

/// The end of an attempt that a ForwardRequest effect started. After a Cancel
/// effect it is sent as soon as the stream to the backend server is closed; the
/// request occupies its slot until then.
struct BackendResult
{
  RequestId mRequest{};
  BackendOutcome mOutcome = BackendOutcome::Answered;
  /// True when a part of the response was sent to the caller, so that the
  /// request can't be retried.
  bool mResponseStarted = false;
  /// For Answered and Shed: the response, or null when it was too long for the
  /// daemon to keep.
  ResponseBytes mResponse{};
};

/// Health states that a backend server reports.
enum class BackendHealth : uint8_t
{
  Ok,
  Starting,
  Draining
};

/// Result of a health or load request, or a change of the connection to the
/// backend server. Absent fields were not reported.
struct BackendState
{
  /// Whether the connection to the backend server is up.
  bool mReachable = false;
  /// Boot ID, different for each incarnation of the backend server; empty when
  /// not reported.
  std::string mBoot{};
  std::optional<BackendHealth> mHealth{};
  /// Reported warmth from 0 (cold) to 1.
  std::optional<double> mWarmth{};
  /// Reported number of slots.
  std::optional<uint32_t> mSlots{};
};

/// The part of the effective configuration that concerns this agent.
struct AgentConfig
{
  /// Concurrent requests that the backend server can handle when warm.
  uint32_t mSlots = 4;
  /// Maximum number of open flows.
  uint32_t mConnections = 2000;
  /// Time from a cold start until all slots are used.
  Duration mRamp = std::chrono::seconds(20);
  /// As first candidate, the agent accepts a flow while the sum of used slots
  /// and queued requests is below this. When absent, the current limit of
  /// concurrent requests is used instead.
  std::optional<uint32_t> mThreshold{};
  /// The service has bulk requests only, so they may use all slots.
  bool mBulkService = false;
  bool mDraining = false;
  /// Operators took the agent's failure domain out of service.
  bool mDomainOut = false;

  bool operator==(const AgentConfig&) const = default;
};

/// A new configuration took effect.
struct ConfigChanged
{
  AgentConfig mConfig{};
};

/// The agent's own lease was renewed, or the availability of the store changed.
struct LeaseChanged
{
  /// End of the lease in the agent's monotonic time.
  Instant mEnd{};
  /// The store is out of service.
  bool mStoreOut = false;
};

/// An entry instance probed this agent, which confirms that the entry instance
/// still uses the agent.
struct ConfirmedByEntry
{};

/// The process was asked to terminate.
struct ShutdownRequested
{};

/// Time passed. Due at the latest at AgentCore::NextTick().
struct Tick
{};

using Event = std::variant<FlowOpened,
                           FlowClosed,
                           RequestArrived,
                           RequestCancelled,
                           RelayFinished,
                           BackendResult,
                           BackendState,
                           ConfigChanged,
                           LeaseChanged,
                           ConfirmedByEntry,
                           ShutdownRequested,
                           Tick>;

/// Send the request to the backend server, with the time left until mDeadline
/// in the deadline-ms header field.
struct ForwardRequest
{
  RequestId mRequest{};
  Instant mDeadline{};
};

enum class RejectReason : uint8_t
{
  QueueFull,
  DeadlineTooShort,
  DeadlinePassed,
  Draining,
  DomainOut,
  LeaseExpired,
  IdempotencyTableFull,
  MalformedKey,
  RefusedByBackend,
  FirstRequestRejected,
  /// Long bulk requests occupy the slots; another agent may have a free one.
  BulkSlotsBusy
};

/// Reset the stream with H3_REQUEST_REJECTED: the request did not run.
struct Reject
{
  RequestId mRequest{};
  RejectReason mReason = RejectReason::QueueFull;
};

enum class UnknownReason : uint8_t
{
  /// The call to the backend server ended without a complete response.
  BackendBroken,
  DeadlinePassed,
  DomainOut,
  OtherIncarnation,
  ScopeExpired,
  UnverifiedScope,
  NotStored,
  TooManyDuplicates,
  TooManyRelays,
  RelayLoop
};

/// Respond with 502 and "outcome unknown"; reset the stream when a part of the
/// response was already sent.
struct RespondOutcomeUnknown
{
  RequestId mRequest{};
  UnknownReason mReason = UnknownReason::BackendBroken;
};

/// Respond with 422: the key was used for a request with a different method,
/// path or body (draft-ietf-httpapi-idempotency-key-header). The request did
/// not run.
struct RespondKeyReused
{
  RequestId mRequest{};
};

/// Respond with the stored response of the first request with the same key.
struct ReplayResponse
{
  RequestId mRequest{};
  ResponseBytes mResponse{};
};

/// Relay the request over a control stream to the agent named in its key and
/// report RelayFinished.
struct Relay
{
  RequestId mRequest{};
  Address mAgent{};
};

/// Cancel the call to the backend server, or the relay, because the
/// caller no longer waits for the response.
struct Cancel
{
  RequestId mRequest{};
};

/// Send on every flow a GOAWAY that announces the shutdown but rejects no
/// requests yet.
struct SendShutdownNotice
{};

/// Send the GOAWAY with the ID of the last accepted request on every flow.
struct SendFinalGoaway
{};

/// Close the flow at once.
struct CloseFlow
{
  FlowId mFlow{};
};

/// All requests have ended after a shutdown request; the process may exit.
struct ReadyToExit
{};

using Effect = std::variant<ForwardRequest,
                            Reject,
                            RespondOutcomeUnknown,
                            RespondKeyReused,
                            ReplayResponse,
                            Relay,
                            Cancel,
                            SendShutdownNotice,
                            SendFinalGoaway,
                            CloseFlow,
                            ReadyToExit>;

/// Effects in the order in which they must be carried out.
using Effects = std::vector<Effect>;

} // namespace snipepost
