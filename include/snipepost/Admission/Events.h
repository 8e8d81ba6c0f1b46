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
using FlowId = Strong<struct FlowIdTag, uint64_t>;

/// Number of a request, unique within one agent and never reused.
using RequestId = Strong<struct RequestIdTag, uint64_t>;

/// Opaque bytes of a complete response as the daemon wants to replay it.
using ResponseBytes = std::shared_ptr<const std::string>;

/// Classes of requests, the most urgent first.
enum class RequestClass : uint8_t
{
  Submission,
  Query,
  Bulk
};

/// Whether a packet of a flow that this agent may not own opens the flow.
enum class PacketKind : uint8_t
{
  /// The agent holds the flow of the packet.
  Owned,
  /// The first packet of a flow (a QUIC Initial) that the agent doesn't hold.
  Opening,
  /// Any other packet whose flow the agent doesn't hold.
  Unknown
};

/// A datagram before it reaches the QUIC layer.
struct FirstPacket
{
  PacketKind mKind = PacketKind::Opening;
  /// Position of this agent in the packet's list of candidates.
  uint8_t mOwnIndex = 0;
  /// Number of candidates in the list, at most 4.
  uint8_t mCandidates = 1;
  /// How many candidates at the head of the list come from the present table
  /// (1 or 2); the others come from the previous one.
  uint8_t mPresent = 1;
  /// Hop count of the packet header: 0 when an entry instance sent it.
  uint8_t mHops = 0;
};

/// What to do with a FirstPacket.
struct HuntingDecision
{
  enum class Action : uint8_t
  {
    Accept,
    HandOn,
    /// Tell the caller that the flow did not start.
    Refuse,
    /// Discard without an answer.
    Drop
  };
  Action mAction = Action::Refuse;
  /// Index of the candidate that gets the packet; only for HandOn.
  uint8_t mCandidate = 0;

  bool operator==(const HuntingDecision&) const = default;
};

/// The QUIC layer created a flow.
struct FlowOpened
{
  FlowId mFlow{};
};

/// A flow ended, by either side or by idle timeout. Requests of the flow need
/// no further answer.
struct FlowClosed
{
  FlowId mFlow{};
};

/// The header section of a request is complete.
struct RequestArrived
{
  RequestId mRequest{};
  /// Nothing when another agent relayed the request over a control stream.
  std::optional<FlowId> mFlow{};
  RequestClass mClass = RequestClass::Query;
  /// True when running the request twice is harmless (GET, HEAD).
  bool mIdempotent = true;
  /// Value of the idempotency-key header field, empty when absent. Ignored for
  /// idempotent requests.
  std::string mKey{};
  /// Hash of method, path and body. A key names one request: it is not
  /// answered with the response to a request that has another hash.
  uint64_t mDigest = 0;
  /// The caller has no use for an answer after this time.
  Instant mDeadline{};
};

/// The caller reset the stream of a request.
struct RequestCancelled
{
  RequestId mRequest{};
};

/// The agent named in a Relay effect answered, or the relay failed. The daemon
/// has passed the outcome to the caller.
struct RelayFinished
{
  RequestId mRequest{};
};

/// How an exchange with the backend server ended.
enum class BackendOutcome : uint8_t
{
  /// The response is complete.
  Answered,
  /// REFUSED_STREAM: the backend server did not process the request.
  Refused,
  /// The backend server answered that it is overloaded (503). The response is
  /// delivered like any other, since it doesn't prove that nothing ran.
  Shed,
  /// The connection or the stream ended before the response was complete.
  Broken,
  /// No complete response within the time limit.
  TimedOut
};

/// The last event of each PassOn. It also follows a Cancel effect, as soon as
/// the stream to the backend server is closed; the slot is held until then.
struct BackendResult
{
  RequestId mRequest{};
  BackendOutcome mOutcome = BackendOutcome::Answered;
  /// True when bytes of the response were sent to the caller, which rules out
  /// a retry.
  bool mResponseStarted = false;
  /// For Answered and Shed: the response, or null when the daemon didn't keep
  /// it because of its size.
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
  /// Identifies one life of the backend server; empty when not reported.
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
  /// Requests that the backend server runs at the same time when warm.
  uint32_t mSlots = 4;
  /// Flows that the agent holds at the same time.
  uint32_t mConnections = 2000;
  /// Time from cold to all slots.
  Duration mRamp = std::chrono::seconds(20);
  /// The first candidate accepts a flow while used slots + queue is below
  /// this; the current limit when absent.
  std::optional<uint32_t> mThreshold{};
  /// The service carries bulk only, so no slot is kept from it.
  bool mBulkService = false;
  bool mDraining = false;
  bool mDomainOut = false;

  bool operator==(const AgentConfig&) const = default;
};

/// A configuration came into force.
struct ConfigChanged
{
  AgentConfig mConfig{};
};

/// The agent's own lease was renewed, or the store became known to be in or
/// out of service.
struct LeaseChanged
{
  /// End of the lease in the agent's monotonic time.
  Instant mEnd{};
  bool mStoreOut = false;
};

/// An entry instance confirmed (by a probe) that it uses this agent.
struct EntryConfirmed
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
                           EntryConfirmed,
                           ShutdownRequested,
                           Tick>;

/// Send the request to the backend server with the time left until mDeadline.
struct PassOn
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
  LeaseLapsed,
  TableFull,
  MalformedKey,
  RefusedByBackend,
  FirstAttemptRejected,
  /// Long bulk requests hold the slots; another agent may have one free.
  SlotsHeld
};

/// Reset the stream with H3_REQUEST_REJECTED: the request did not run.
struct Reject
{
  RequestId mRequest{};
  RejectReason mReason = RejectReason::QueueFull;
};

enum class UnknownReason : uint8_t
{
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

/// Answer 502 with "outcome unknown"; reset the stream when a part of the
/// response was already sent.
struct AnswerUnknown
{
  RequestId mRequest{};
  UnknownReason mReason = UnknownReason::BackendBroken;
};

/// Answer 422: the key belongs to a request with another method, path or body
/// (draft-ietf-httpapi-idempotency-key-header). Nothing ran.
struct AnswerKeyReused
{
  RequestId mRequest{};
};

/// Answer with the stored response of the first request with the same key.
struct AnswerStored
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

/// Stop the exchange with the backend server, or the relay, of a request whose
/// answer nobody waits for.
struct Cancel
{
  RequestId mRequest{};
};

/// Send a GOAWAY on every flow that announces the shutdown and ends nothing.
struct SendShutdownNotice
{};

/// Send the GOAWAY that names the last accepted request on every flow.
struct SendFinalGoaway
{};

/// Close the flow at once.
struct CloseFlow
{
  FlowId mFlow{};
};

/// Nothing is in progress after a shutdown request; the process may exit.
struct ReadyToExit
{};

using Effect = std::variant<PassOn,
                            Reject,
                            AnswerUnknown,
                            AnswerKeyReused,
                            AnswerStored,
                            Relay,
                            Cancel,
                            SendShutdownNotice,
                            SendFinalGoaway,
                            CloseFlow,
                            ReadyToExit>;

/// Effects in the order in which they must be carried out.
using Effects = std::vector<Effect>;

} // namespace snipepost
