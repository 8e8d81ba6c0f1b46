#pragma once

#include <array>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <snipepost/Admission/AgentCore.h>
#include <snipepost/Document/Effective.h>
#include <snipepost/Routing/EntryRouter.h>
#include <snipepost/Routing/RouteId.h>
#include <snipepost/View/SnapshotBuilder.h>

#include <tests/Matrix/Checkers.h>
#include <tests/Matrix/ScheduleParts.h>
#include <tests/Membership/FakeFleet.h>

namespace snipepost::matrix {

inline const KeyRing kKeys(SecretKey{ 4, 2 });
constexpr Duration kFewSeconds = std::chrono::seconds(5);

/// Where callers send the packets for a service.
inline Address
AddressOf(ServiceId aService)
{
  return { 0x7f010000U + aService.Value(), 443 };
}

/// Kinds of steps: traffic and time, planned changes, then faults.
enum class FleetAction : uint8_t
{
  Open,
  Advance,
  AdvanceLong,
  DomainOut,
  DomainBack,
  Drain,
  Admit,
  BackendAnnounced,
  Touch,
  EntryDies,
  EntryJoins,
  AgentDies,
  AgentRestarts,
  AgentFrozen,
  AgentResumed,
  LinkOneWay,
  LinkBothWays,
  EntryCutOff,
  RegionsApart,
  Loss,
  Duplication,
  Jitter,
  StoreDown,
  StoreSlow,
  AnswerLost,
  WatchesStalled,
  StoreRolledBack,
  StoreEmpty,
  OperatorsRace,
  UpdatesTwice,
  Calm,
  Count
};

constexpr auto kFleetActions = static_cast<uint8_t>(FleetAction::Count);
constexpr auto kFirstPlanned = static_cast<uint8_t>(FleetAction::DomainOut);
constexpr auto kFirstFleetFault = static_cast<uint8_t>(FleetAction::EntryDies);

using FleetStep = BasicStep<FleetAction>;
using FleetSchedule = std::vector<FleetStep>;

std::ostream&
operator<<(std::ostream& aOut, const FleetStep& aStep);

rc::Gen<FleetSchedule>
AnyFleetSchedule();

/// Traffic and planned changes around the two steps, in this order.
rc::Gen<FleetSchedule>
FleetScheduleWith(FleetAction aFirst, FleetAction aSecond);

/// A schedule with many steps of the given kinds, for showing that a check
/// notices a missing guard.
rc::Gen<FleetSchedule>
FleetScheduleOf(const std::vector<FleetAction>& aActions);

/// Rules to switch off, of all modules that take part.
struct FleetGuards
{
  RoutingSafeguards mRouting{};
  ViewSafeguards mView{};
  MembershipSafeguards mMembership{};
  Safeguards mAdmission{};
};

/// Several entry instances and agents of two services: real membership cores,
/// routers and agent cores over one fake network and store, with a clock that
/// only the schedule moves. Callers' packets take no time.
class FleetWorld
{
public:
  explicit FleetWorld(const FleetGuards& aGuards = {});

  /// Runs the steps, lets the faults end, and returns what was broken.
  std::vector<Violation> Run(const FleetSchedule& aSchedule);

  /// Flows that were accepted in the run.
  size_t FlowsOpened() const { return mOpened; }
  size_t PacketsRouted() const { return mRouted; }

private:
  struct Entry
  {
    EntryRouter mRouter;
    std::shared_ptr<const RoutingSnapshot> mSnapshot;
  };
  struct Flow
  {
    ServiceId mService;
    RouteId mId;
    std::vector<uint8_t> mFirstId;
  };
  struct Agent
  {
    AgentCore mCore;
    uint64_t mLife = 0;
    std::map<FlowId, Flow> mFlows;
    Instant mConfirmed{};
  };
  /// The first flight of a flow, for packets of it that come later.
  struct Flight
  {
    Flow mFlow;
    Address mVia;
    Address mOwner;
    std::shared_ptr<const BackendPool> mPool;
  };
  enum class End : uint8_t
  {
    Delivered,
    Opened,
    Refused,
    Lost
  };
  struct Arrival
  {
    End mEnd = End::Lost;
    Address mAgent{};
  };

  void Do(const FleetStep& aStep);
  void DoFault(const FleetStep& aStep);
  void Calm();

  // Instances.
  void StartEntry(size_t aIndex);
  void StartAgent(size_t aIndex);
  void Rebuild(const Address& aAddress);
  void Configure(const Address& aAddress);
  void TickAgents();
  void Apply(Agent& aAgent, const Effects& aEffects);
  void Advance(Duration aTime);
  std::vector<Address> Ready() const;
  std::vector<Address> LiveOf(InstanceRole aRole) const;
  const EffectiveConfig* ConfigOf(const Address& aAddress) const;

  // Operators.
  using Edit = std::function<void(EffectiveConfig&)>;
  void Submit(const Edit& aEdit, bool aTwice = false);
  DocumentVersion Greatest();
  void TrackDocuments();

  // Packets.
  void Open(const FleetStep& aStep);
  Arrival Walk(const Address& aEntry,
               const RouteDecision& aDecision,
               const Flow& aFlow,
               bool aInitial);
  void SendAll();
  void SendLate();
  void SendFlow(const Address& aEntry, const Flow& aFlow);

  // Checks.
  void Broken(const char* aLabel, const std::string& aText);
  bool Strict(Duration aTime) const;
  void CheckAccepted(const Address& aAgent);
  void CheckDocuments();
  void CheckView();
  void CheckRecovered();

  FleetGuards mSafeguards;
  fake::Fleet mFleet{ 11 };
  Random mRandom{ 5 };
  std::map<Address, Entry> mEntries;
  std::map<Address, Agent> mAgents;
  std::map<Address, InstanceRecord> mRecords;
  std::map<Address, Instant> mAwakeSince;
  std::map<Address, DocumentVersion> mHeld;
  uint64_t mLastLife = 0;
  uint64_t mLastFlow = 0;
  uint64_t mLastSubmission = 0;

  std::map<std::string, EffectiveConfig> mConfigs;
  /// The greatest accepted document that still exists, and since when a live
  /// instance holds it.
  std::string mNewest;
  Instant mAcceptedAt{};
  std::optional<Instant> mKnownAt;
  std::map<DomainId, Instant> mOutSince;
  std::map<Address, Instant> mDrainSince;
  fake::Store mEarlier;

  /// When each kind of fault was last in force.
  std::map<FleetAction, Instant> mFaults;
  std::set<FleetAction> mActive;
  std::set<std::pair<Address, Address>> mCuts;

  std::vector<Flight> mFlights;

  size_t mOpened = 0;
  size_t mRouted = 0;
  std::vector<Violation> mViolations;
};

} // namespace snipepost::matrix
