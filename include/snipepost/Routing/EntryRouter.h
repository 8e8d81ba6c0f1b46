#pragma once

#include <array>
#include <cstdint>
#include <span>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/KeyedTag.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Routing/CandidateList.h>
#include <snipepost/Routing/RoutingSnapshot.h>

namespace snipepost {

/// Why a datagram is dropped.
enum class DropReason : uint8_t
{
  None,
  UnknownService,
  Malformed,
  /// No valid tag, in a packet that must carry an issued ID.
  ForgedId,
  /// The issued ID belongs to another service.
  WrongService,
  DomainOut,
  NoBackend,
};

constexpr size_t kDropReasonCount = 7;

/// Result of a routing decision. The datagram is forwarded to the first
/// candidate with the others in its header, or dropped when mDrop is set; the
/// list is then empty.
struct RouteDecision
{
  DropReason mDrop = DropReason::None;
  /// True when an issued ID named the agent, so there is one candidate.
  bool mByIssuedId = false;
  /// Service at the destination address; 0 when there is none.
  ServiceId mService;
  CandidateList mCandidates;
  /// How many candidates at the head of the list the present table gave.
  uint8_t mPresent = 0;

  bool IsForward() const { return mDrop == DropReason::None; }
};

/// Flow key of a packet with a client-chosen destination connection ID. All
/// datagrams of a first flight carry the same one.
FlowKey
FlowKeyOfConnectionId(std::span<const uint8_t> aDestinationId);

/// Flow key of a datagram that isn't QUIC.
FlowKey
FlowKeyOfCaller(const Address& aCaller, ServiceId aService);

/// Switches off single rules, so that tests can show that each is needed.
struct RoutingGuards
{
  /// An issued ID of another service is dropped.
  bool mServiceCheck = true;
  /// Nothing is sent into a failure domain that is out.
  bool mDomainCheck = true;
  /// Candidates of the previous table follow those of the current one.
  bool mPreviousCandidates = true;
};

/// Decides where an entry instance sends each datagram. Holds no state of
/// flows. Not thread-safe: Route() counts.
class EntryRouter
{
public:
  explicit EntryRouter(const KeyRing& aKeys, const RoutingGuards& aGuards = {})
    : mKeys(aKeys)
    , mSafeguards(aGuards)
  {
  }

  /// Replaces the secrets, for a key rotation.
  void SetKeys(const KeyRing& aKeys) { mKeys = aKeys; }

  /// Routes one datagram that aCaller sent to aService. A packet with an issued
  /// ID goes to the agent in the ID, also when that agent is draining. Any
  /// other gets two candidates of the current table, then those of the previous
  /// one that differ. A datagram whose first byte is below 0x40 and that
  /// carries no issued ID counts as other UDP (RFC 9443). Allocates nothing.
  RouteDecision Route(const RoutingSnapshot& aSnapshot,
                      const Address& aService,
                      const Address& aCaller,
                      std::span<const uint8_t> aDatagram);

  /// Datagrams dropped so far for a reason; for None, those forwarded.
  uint64_t Count(DropReason aReason) const
  {
    return mCounts[static_cast<size_t>(aReason)];
  }

private:
  /// Fills aDecision but for mDrop, which it returns.
  DropReason Decide(const RoutingSnapshot& aSnapshot,
                    const Address& aService,
                    const Address& aCaller,
                    std::span<const uint8_t> aDatagram,
                    RouteDecision& aDecision) const;

  KeyRing mKeys;
  RoutingGuards mSafeguards;
  std::array<uint64_t, kDropReasonCount> mCounts{};
};

} // namespace snipepost
