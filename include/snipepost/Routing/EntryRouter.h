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
  /// The packet must carry a connection ID that an agent issued (see RouteId),
  /// but the tag of its ID is not valid.
  ForgedId,
  /// The issued ID belongs to another service.
  WrongService,
  /// The issued ID belongs to an agent in a failure domain that is out of
  /// service.
  DomainOut,
  NoBackend,
};

constexpr size_t kDropReasonCount = 7;

/// Result of a routing decision. The datagram is forwarded to the first
/// candidate, in a packet whose header lists all candidates. When mDrop is not
/// None, the datagram is dropped and the list is empty.
struct RouteDecision
{
  DropReason mDrop = DropReason::None;
  /// True when the agent was taken from an issued ID; it is then the only
  /// candidate.
  bool mByIssuedId = false;
  /// Service at the destination address; 0 when there is none.
  ServiceId mService;
  CandidateList mCandidates;
  /// Number of leading candidates that come from the current table.
  uint8_t mFromCurrentTable = 0;

  bool IsForward() const { return mDrop == DropReason::None; }
};

/// Flow key of a packet whose destination connection ID was chosen by the
/// caller. The ID is the same in all datagrams of a first flight.
FlowKey
FlowKeyOfConnectionId(std::span<const uint8_t> aDestinationId);

/// Flow key of a datagram that isn't QUIC.
FlowKey
FlowKeyOfCaller(const Address& aCaller, ServiceId aService);

/// Safety rules that tests disable one at a time, to show that each is needed.
struct RoutingSafeguards
{
  /// An issued ID of another service is dropped.
  bool mServiceCheck = true;
  /// Nothing is sent into a failure domain that is out of service.
  bool mDomainCheck = true;
  /// Candidates of the previous table follow those of the current one.
  bool mPreviousCandidates = true;
};

/// Decides where an entry instance sends each datagram. Keeps no per-flow
/// state. Not thread-safe, because Route() updates counters.
class EntryRouter
{
public:
  explicit EntryRouter(const KeyRing& aKeys,
                       const RoutingSafeguards& aSafeguards = {})
    : mKeys(aKeys)
    , mSafeguards(aSafeguards)
  {
  }

  /// Replaces the keys, for a key rotation.
  void SetKeys(const KeyRing& aKeys) { mKeys = aKeys; }

  /// Routes one datagram that aCaller sent to aServiceAddress. A packet with an
  /// issued ID goes to the agent in the ID, even when that agent is draining.
  /// For any other packet the candidates are two from the current table,
  /// followed by those from the previous table that differ. A datagram whose
  /// first byte is below 0x40 and that carries no issued ID is treated as UDP
  /// other than QUIC (RFC 9443). Allocates nothing.
  RouteDecision Route(const RoutingSnapshot& aSnapshot,
                      const Address& aServiceAddress,
                      const Address& aCaller,
                      std::span<const uint8_t> aDatagram);

  /// Number of datagrams dropped for aReason; for None, the number forwarded.
  uint64_t Count(DropReason aReason) const
  {
    return mCounts[static_cast<size_t>(aReason)];
  }

private:
  /// Fills in aDecision except for mDrop, which is the return value.
  DropReason Decide(const RoutingSnapshot& aSnapshot,
                    const Address& aServiceAddress,
                    const Address& aCaller,
                    std::span<const uint8_t> aDatagram,
                    RouteDecision& aDecision) const;

  KeyRing mKeys;
  RoutingSafeguards mSafeguards;
  std::array<uint64_t, kDropReasonCount> mCounts{};
};

} // namespace snipepost
