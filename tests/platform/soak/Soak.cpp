#include "tests/platform/soak/Soak.h"

#include <csignal>
#include <fstream>
#include <iostream>

#include <boost/json.hpp>

namespace snipepost::soak {

using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

constexpr Duration kTick = 5ms;
constexpr Duration kStartTime = 4s;
/// Measured after the recovery.
constexpr Duration kLastTime = 4s;
/// Time that a process has after SIGTERM.
constexpr Duration kGrace = 6s;
constexpr uint64_t kLogRate = 2000;

constexpr Address kDeskRead{ 0xc6120001, 443 };
constexpr Address kDeskOrder{ 0xc6120001, 8443 };
constexpr Address kSheets{ 0xc6120002, 443 };
constexpr Address kExtra{ 0xc6120003, 443 };

Instant
SteadyNow()
{
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

json::object
RouteJson(const std::string& aName,
          const Address& aAddress,
          const char* aType,
          const char* aService)
{
  const std::string text = ToString(aAddress);
  return { { "name", aName },
           { "host", text.substr(0, text.find(':')) },
           { "path_prefix", '/' + std::to_string(aAddress.mPort) + '/' },
           { "type", aType },
           { "timeout_ms", 2000 },
           { "target_latency_ms", 150 },
           { "priority", 1 },
           { "service", aService } };
}

json::object
ServiceJson(const char* aName)
{
  return { { "name", aName },
           { "health_path", "/health" },
           { "max_connections", 2000 },
           { "cold_start_s", 2.0 },
           { "cold_per_s", Promises::kColdPerSecond } };
}

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

Soak::Soak(const SoakOptions& aOptions)
  : mOptions(aOptions)
  , mLayout(aOptions.mNet)
  , mRandom(aOptions.mSeed)
  , mPromises(SteadyNow())
  , mStore(mContext, mLayout.Store(), aOptions.mSeed + 1)
  , mDatagrams(mContext, mLayout, mFaults, aOptions.mSeed + 2)
  , mRouter(mContext, mLayout)
  , mCallers(mContext, mLayout, mFaults, mRouter, mPromises, aOptions.mSeed + 3)
  , mStart(SteadyNow())
{
  for (size_t node = 0; node < Layout::kNodes; ++node) {
    mStoreProxies.push_back(std::make_unique<StreamProxy>(
      mContext, mLayout.StoreOf(node), mLayout.Store(), [this, node] {
        return mFaults.ToStore(node);
      }));
    mNodeProxies.push_back(std::make_unique<StreamProxy>(
      mContext,
      mLayout.Advertised(node, Layout::kInternal),
      mLayout.Real(node, Layout::kInternal),
      [this, node] { return mFaults.ToNode(node); }));
    const std::string base = mOptions.mFolder + '/' + Layout::NameOf(node);
    const std::string role = Layout::IsEntry(node) ? "entry" : "agent";
    mNodes.push_back(std::make_unique<NodeProcess>(
      std::vector<std::string>{
        mOptions.mProgram, "--role", role, "--settings-file", base + ".conf" },
      base + ".log"));
    WriteSettings(node, kLogRate);
  }
  for (size_t agent = 0; agent < Layout::kAgents; ++agent) {
    mBackends.push_back(std::make_unique<SoakBackend>(
      mContext, mLayout, agent, mPromises, aOptions.mSeed + 10 + agent));
  }
}

Soak::~Soak() = default;

void
Soak::WriteSettings(size_t aNode, uint64_t aLogRate)
{
  std::ofstream out(mOptions.mFolder + '/' + Layout::NameOf(aNode) + ".conf");
  out << "name = " << Layout::NameOf(aNode) << '\n'
      << "failure-domain = " << Layout::DomainName(Layout::DomainOf(aNode))
      << '\n'
      << "packets = " << ToString(mLayout.Real(aNode, Layout::kPackets)) << '\n'
      << "advertise = " << ToString(mLayout.Advertised(aNode, Layout::kPackets))
      << '\n'
      << "readiness = " << ToString(mLayout.Real(aNode, Layout::kReadiness))
      << '\n'
      << "internal-port = " << Layout::kInternal << '\n'
      << "metrics-port = " << Layout::kMetrics << '\n'
      << "store = " << ToString(mLayout.StoreOf(aNode)) << '\n'
      << "log-rate = " << aLogRate << '\n'
      << "seeds = " << ToString(mLayout.Advertised(0, Layout::kControl)) << ','
      << ToString(mLayout.Advertised(1, Layout::kControl)) << '\n';
  if (!Layout::IsEntry(aNode)) {
    const size_t agent = aNode - Layout::kEntries;
    out << "control = " << ToString(mLayout.Real(aNode, Layout::kControl))
        << '\n'
        << "outbound = " << ToString(mLayout.Real(aNode, Layout::kOutbound))
        << '\n'
        << "backend = " << ToString(mLayout.Backend(agent)) << '\n'
        << "service = " << Layout::ServiceOf(agent) << '\n';
  }
}

void
Soak::Log(const std::string& aText) const
{
  std::cout << Seconds(mPromises.Now() - mStart) << " s " << aText << '\n';
}

void
Soak::PutConfig()
{
  mConfigVersion += 1 + mRandom.Below(5);
  json::array routes = {
    RouteJson("read", kDeskRead, "safe", "desk"),
    RouteJson("order", kDeskOrder, "unsafe", "desk"),
    RouteJson("sheets", kSheets, "download", "sheets"),
  };
  std::vector<CallerRoute> called = { { kDeskRead, true, true },
                                      { kDeskOrder, false, true },
                                      { kSheets, true, true } };
  mPromises.OnRoute(kDeskRead, "desk");
  mPromises.OnRoute(kDeskOrder, "desk");
  mPromises.OnRoute(kSheets, "sheets");
  if (mExtraRoute) {
    routes.push_back(RouteJson("extra", kExtra, "safe", "sheets"));
    mPromises.OnRoute(kExtra, "sheets");
  } else {
    mPromises.OnRouteRemoved(kExtra);
  }
  mStore.Put(
    "config",
    "main",
    json::object{
      { "version", mConfigVersion },
      { "routes", std::move(routes) },
      { "services", json::array{ ServiceJson("desk"), ServiceJson("sheets") } },
      { "limits", { { "idle_timeout_ms", 15000 } } } });
  // The route that comes and goes is called in any case.
  called.push_back({ kExtra, true, mExtraRoute });
  mCallers.SetRoutes(std::move(called));
}

void
Soak::StartAll()
{
  PutConfig();
  for (const auto& node : mNodes) {
    node->Start();
  }
  for (const auto& backend : mBackends) {
    backend->Start(false);
  }
}

void
Soak::Tick()
{
  mPromises.SetNow(SteadyNow());
  mRouter.Tick(mPromises.Now());
  mCallers.Tick();
  for (const auto& backend : mBackends) {
    backend->Tick();
  }
  CheckExits();
  if (mInjecting && mPromises.Now() >= mNextFault) {
    InjectNext();
  }
}

void
Soak::RunFor(Duration aTime)
{
  const Instant end = SteadyNow() + aTime;
  while (SteadyNow() < end) {
    mContext.run_for(kTick);
    mContext.restart();
    Tick();
  }
}

void
Soak::CheckExits()
{
  for (size_t node = 0; node < Layout::kNodes; ++node) {
    const auto exit = mNodes[node]->TakeExit();
    if (!exit) {
      continue;
    }
    const bool expected = mExpectedExit.erase(node) > 0;
    if (!expected || (*exit != 0 && *exit != -SIGKILL)) {
      mPromises.Violate("stays up",
                        Layout::NameOf(node) + " ended with " +
                          std::to_string(*exit));
    }
    if (!mDown.contains(node) && !mStopping) {
      mNodes[node]->Start();
    }
  }
}

void
Soak::StopAll()
{
  mStopping = true;
  mCallers.SetRate(0.0);
  for (size_t node = 0; node < Layout::kNodes; ++node) {
    Expect(node);
    mNodes[node]->Signal(SIGTERM);
  }
  RunFor(kGrace);
  for (size_t node = 0; node < Layout::kNodes; ++node) {
    if (mNodes[node]->Running()) {
      mPromises.Violate("stops", Layout::NameOf(node) + " is still running");
    }
  }
}

bool
Soak::Run()
{
  StartAll();
  RunFor(kStartTime);
  mCallers.SetRate(kUsualRate);
  RunFor(1s);
  mInjecting = true;
  const Instant began = mPromises.Now();
  RunFor(mOptions.mFaultTime);
  mInjecting = false;
  const Instant ended = mPromises.Now();
  RunFor(Promises::kRecovery + kLastTime);
  mPromises.CheckRecovered(ended);
  Log("asked " + std::to_string(mCallers.Asked()) + ", served " +
      std::to_string(mCallers.Served()) + ", attempts " +
      std::to_string(mCallers.Attempts()) + ", store calls " +
      std::to_string(mStore.Calls()) + ", served under faults " +
      std::to_string(mPromises.ServedShare(began, ended)) + ", at the end " +
      std::to_string(
        mPromises.ServedShare(ended + Promises::kRecovery, mPromises.Now())));
  StopAll();
  for (const std::string& violation : mPromises.Violations()) {
    std::cout << "VIOLATED " << violation << '\n';
  }
  std::cout << "seed " << mOptions.mSeed << ' '
            << (mPromises.Violations().empty() ? "passed" : "failed")
            << std::endl;
  return mPromises.Violations().empty();
}

} // namespace snipepost::soak
