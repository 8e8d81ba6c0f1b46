#pragma once

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <asio.hpp>

#include <snipepost/Base/Random.h>

#include "tests/platform/soak/DatagramProxy.h"
#include "tests/platform/soak/NodeProcess.h"
#include "tests/platform/soak/SoakBackend.h"
#include "tests/platform/soak/SoakCallers.h"
#include "tests/platform/soak/SoakStore.h"
#include "tests/platform/soak/StreamProxy.h"

namespace snipepost::soak {

struct SoakOptions
{
  /// The program snipepost-flowd.
  std::string mProgram;
  /// Folder for settings files and logs.
  std::string mFolder;
  uint64_t mSeed = 1;
  uint8_t mNet = 101;
  /// Time in which faults begin.
  std::chrono::seconds mFaultTime{ 16 };
  /// Mean faults a second.
  double mFaultRate = 1.0;
  /// Kinds of faults to inject; all when empty.
  std::set<std::string> mKinds;
};

/// Runs a deployment of real processes, injects faults from outside them in
/// series that overlap, and checks the promises meanwhile.
class Soak
{
public:
  explicit Soak(const SoakOptions& aOptions);
  ~Soak();

  /// True when no promise was broken. Prints what happened.
  bool Run();

  static std::vector<std::string> KindNames();

private:
  /// Requests a second of each failure domain; both services are at about a
  /// fifth of their slots.
  static constexpr double kUsualRate = 40.0;

  struct FaultKind
  {
    const char* mName;
    void (Soak::*mInject)();
    uint32_t mWeight;
  };
  static const std::vector<FaultKind>& Kinds();

  void WriteSettings(size_t aNode, uint64_t aLogRate);
  void StartAll();
  void PutConfig();
  void RunFor(Duration aTime);
  void Tick();
  void CheckExits();
  void StopAll();
  void InjectNext();
  void Log(const std::string& aText) const;

  /// Runs aAction after aTime, also when other faults began meanwhile.
  void After(Duration aTime, std::function<void()> aAction);
  /// A random time of a fault.
  Duration SomeTime();
  size_t SomeNode() { return mRandom.Below(Layout::kNodes); }
  /// Suspends bounds in time until aTime has passed; then runs aEnd.
  void Disturb(Duration aTime, std::function<void()> aEnd);

  // Kinds of faults.
  void KillNode();
  void KillMany();
  void StopNode();
  void FreezeNode();
  void ReloadNode();
  void CutNode();
  void CutNodeOneWay();
  void CutDomain();
  void LosePackets();
  void DelayPackets();
  void BreakStoreLinks();
  void FailStore();
  void CompactStore();
  void CrashBackend();
  void CrashBesideAgent();
  void ReplaceBackend();
  void ChangeConfig();
  void StormConfig();
  void EvacuateDomain();
  void Burst();

  void Kill(size_t aNode, Duration aDownTime);
  void Expect(size_t aNode) { mExpectedExit.insert(aNode); }

  SoakOptions mOptions;
  Layout mLayout;
  Random mRandom;
  asio::io_context mContext;
  LinkFaults mFaults;
  Promises mPromises;
  SoakStore mStore;
  DatagramProxy mDatagrams;
  std::vector<std::unique_ptr<StreamProxy>> mStoreProxies;
  std::vector<std::unique_ptr<StreamProxy>> mNodeProxies;
  SoakRouter mRouter;
  SoakCallers mCallers;
  std::vector<std::unique_ptr<SoakBackend>> mBackends;
  std::vector<std::unique_ptr<NodeProcess>> mNodes;
  /// Nodes whose process was told to end.
  std::set<size_t> mExpectedExit;
  /// Nodes that are not started again before a fault ends.
  std::set<size_t> mDown;
  std::set<size_t> mFrozen;
  std::vector<std::shared_ptr<asio::steady_timer>> mTimers;
  uint64_t mConfigVersion = 0;
  bool mExtraRoute = false;
  std::set<size_t> mEvacuated;
  Instant mNextFault;
  bool mInjecting = false;
  bool mStopping = false;
  Instant mStart;
};

} // namespace snipepost::soak
