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
/// Time limit of P4 and P8.
constexpr Duration kPropagationLimit = std::chrono::seconds(5);

/// Address to which callers send the packets for a service.
inline Address
AddressOf(ServiceId aService)
{
  return { 0x7f010000U + aService.Value(), 443 };
}

/// Kinds of steps: traffic and time, planned changes, then faults.
enum class FleetAction : uint8_t
{
  /// A caller opens a flow.
  Open,
  Advance,
  AdvanceLong,
  DomainOut,
  DomainBack,
  Drain,
  /// Submits a document that no longer drains the backend server.
  Admit,
  /// The last agent starts; the others run from the beginning.
  BackendAnnounced,
  /// Submits a new document without changes.
  Touch,
  EntryDies,
  EntryJoins,
  AgentDies,
  AgentRestarts,
  AgentFrozen,
  AgentResumed,
  LinkOneWay,
  LinkBothWays,
  /// Cuts the links between one entry instance and the other entry instances.
  EntryCutOff,
  /// Cuts the links between domain 1 and the other domains.
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
  /// Delivers documents to an instance again, including older ones.
  UpdatesTwice,
  /// Ends all faults that are still active.
  Calm,
  Count
};

constexpr auto kFleetActions = static_cast<uint8_t>(FleetAction::Count);
constexpr auto kFirstPlannedChange =
  static_cast<uint8_t>(FleetAction::DomainOut);
constexpr auto kFirstFleetFault = static_cast<uint8_t>(FleetAction::EntryDies);

using FleetStep = BasicStep<FleetAction>;
using FleetSchedule = std::vector<FleetStep>;

std::ostream&
operator<<(std::ostream& aOut, const FleetStep& aStep);

rc::Gen<FleetSchedule>
AnyFleetSchedule();

/// Generates traffic and planned changes before, between and after the two
/// steps.
rc::Gen<FleetSchedule>
FleetScheduleWith(FleetAction aFirst, FleetAction aSecond);

/// Generates schedules with many steps of the given kinds, to verify that a
/// check detects a disabled safeguard.
rc::Gen<FleetSchedule>
FleetScheduleOf(const std::vector<FleetAction>& aActions);

/// The safeguards of all modules in the simulation; each can be disabled.
struct FleetSafeguards
{
  RoutingSafeguards mRouting{};
  ViewSafeguards mView{};
  MembershipSafeguards mMembership{};
  Safeguards mAdmission{};
};

/// Simulation of several entry instances and agents of two services: real
/// membership cores, routers and agent cores on a fake network and store, in
/// virtual time that only the schedule advances. Packets of callers arrive
/// without delay.
class FleetSimulation
{
public:
  explicit FleetSimulation(const FleetSafeguards& aSafeguards = {});

  /// Runs the steps, ends all faults, waits for the recovery, and returns the
  /// violations.
  std::vector<Violation> Run(const FleetSchedule& aSchedule);

  /// Flows that were accepted in the run.
  size_t FlowsOpened() const { return mFlowsOpened; }
  size_t PacketsRouted() const { return mPacketsRouted; }

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
    /// The caller's connection ID in the first packets of the flow.
    std::vector<uint8_t> mInitialId;
  };
  struct Agent
  {
    AgentCore mCore;
    uint64_t mIncarnationNumber = 0;
    std::map<FlowId, Flow> mFlows;
    Instant mLastConfirmation{};
  };
  /// The first flight of an accepted flow, kept to route delayed packets of it
  /// later.
  struct FirstFlight
  {
    Flow mFlow;
    Address mEntry;
    Address mOwner;
    /// The current pool of the service when the flow was accepted.
    std::shared_ptr<const BackendPool> mPool;
  };
  enum class PacketOutcome : uint8_t
  {
    Delivered,
    Opened,
    Refused,
    Lost
  };
  struct PacketResult
  {
    PacketOutcome mOutcome = PacketOutcome::Lost;
    Address mAgent{};
  };

  void RunStep(const FleetStep& aStep);
  void InjectFault(const FleetStep& aStep);
  void EndFaults();

  // Instances.
  void StartEntry(size_t aIndex);
  void StartAgent(size_t aIndex);
  void UpdateInstance(const Address& aAddress);
  void ConfigureAgent(const Address& aAddress);
  void TickAgents();
  void Apply(Agent& aAgent, const Effects& aEffects);
  void Advance(Duration aTime);
  std::vector<Address> ReadyEntries() const;
  std::vector<Address> LiveInstances(InstanceRole aRole) const;
  const EffectiveConfig* ConfigOf(const Address& aAddress) const;

  // Operators.
  using Edit = std::function<void(EffectiveConfig&)>;
  void Submit(const Edit& aEdit, bool aTwice = false);
  DocumentVersion GreatestVersion();
  void TrackDocuments();

  // Packets.
  void Open(const FleetStep& aStep);
  PacketResult SendToCandidates(const Address& aEntry,
                                const RouteDecision& aDecision,
                                const Flow& aFlow,
                                bool aInitial);
  void SendOnAllFlows();
  void SendDelayedInitials();
  void SendOnFlow(const Address& aEntry, const Flow& aFlow);

  // Checks.
  void AddViolation(const char* aLabel, const std::string& aText);
  bool LimitApplies(Duration aTime) const;
  void CheckAccepted(const Address& aAgent);
  void CheckDocuments();
  void CheckViews();
  void CheckRecovered();

  FleetSafeguards mSafeguards;
  fake::Fleet mFleet{ 11 };
  Random mRandom{ 5 };
  std::map<Address, Entry> mEntries;
  std::map<Address, Agent> mAgents;
  std::map<Address, InstanceRecord> mRecords;
  std::map<Address, Instant> mRunningSince;
  std::map<Address, DocumentVersion> mLastVersions;
  uint64_t mLastIncarnation = 0;
  uint64_t mLastFlow = 0;
  uint64_t mLastSubmission = 0;

  std::map<std::string, EffectiveConfig> mConfigs;
  /// The newest accepted document, when it was accepted, and when it first
  /// reached a running instance.
  std::string mNewestText;
  Instant mAcceptedAt{};
  std::optional<Instant> mReceivedAt;
  std::map<DomainId, Instant> mDomainOutSince;
  std::map<Address, Instant> mDrainSince;
  fake::Store mStoreBackup;

  /// When each kind of fault was last active.
  std::map<FleetAction, Instant> mLastActive;
  std::set<FleetAction> mActiveFaults;
  std::set<std::pair<Address, Address>> mCutLinks;

  std::vector<FirstFlight> mFirstFlights;

  size_t mFlowsOpened = 0;
  size_t mPacketsRouted = 0;
  std::vector<Violation> mViolations;
};

} // namespace snipepost::matrix
