#include <chrono>
#include <map>
#include <memory>
#include <stdexcept>

#include "Backend.h"
#include "tools/common/Program.h"

using namespace snipepost;
using namespace snipepost::tools;

namespace po = boost::program_options;

namespace {

/// The flags as given.
struct Flags
{
  std::string mListen;
  std::string mControl;
  std::string mDistribution;
  std::string mShedWith;
  double mColdSeconds = 0.0;
  double mDownSeconds = 0.0;
  double mColdGraceMs = 0.0;
  double mSubmissionMs = 0.0;
  double mQueryMs = 0.0;
  double mBulkMs = 0.0;
  double mReportLagMs = 0.0;
};

void
Declare(po::options_description& aFlags, Flags& aInto, BackendOptions& aOptions)
{
  const auto add =
    [&aFlags](const char* aName, auto* aValue, const char* aText) {
      aFlags.add_options()(aName, aValue, aText);
    };
  add("listen",
      po::value(&aInto.mListen)->default_value("127.0.0.1:0"),
      "address of the server");
  add("control",
      po::value(&aInto.mControl),
      "address of /fault that stays reachable while the server is down");
  add("journal",
      po::value(&aOptions.mJournal),
      "file for request events, appended to; - is stdout");
  add("seed", po::value(&aOptions.mSeed)->default_value(1), "random seed");
  add("slots", po::value(&aOptions.mSlots)->default_value(4), "slots");
  add("connections",
      po::value(&aOptions.mConnections)->default_value(2000),
      "connection limit");
  add("cold-seconds",
      po::value(&aInto.mColdSeconds)->default_value(0),
      "time from cold to warm; 0 starts warm");
  add("down-seconds",
      po::value(&aInto.mDownSeconds)->default_value(3),
      "time that it refuses connections after it fell over");
  add("cold-grace-ms",
      po::value(&aInto.mColdGraceMs)->default_value(1000),
      "time after an unannounced cold start without falling over");
  add("submission-ms",
      po::value(&aInto.mSubmissionMs)->default_value(20),
      "mean service time of a submission");
  add("query-ms",
      po::value(&aInto.mQueryMs)->default_value(5),
      "mean service time of a query");
  add("bulk-ms",
      po::value(&aInto.mBulkMs)->default_value(10),
      "mean time before the first byte of a bulk transfer");
  add("distribution",
      po::value(&aInto.mDistribution)->default_value("exponential"),
      "of service times: exponential or fixed");
  add("shed-from",
      po::value(&aOptions.mShedFrom)->default_value(12),
      "requests in flight from which it sheds; 0 never sheds");
  add("shed-with",
      po::value(&aInto.mShedWith)->default_value("503"),
      "503 or refused (REFUSED_STREAM); also used while draining");
  add("report-lag-ms",
      po::value(&aInto.mReportLagMs)->default_value(0),
      "age of what /health and /load report");
}

Duration
Milliseconds(double aCount)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aCount));
}

template<typename T>
T
Choose(const std::map<std::string, T>& aChoices,
       const std::string& aName,
       const char* aFlag)
{
  const auto found = aChoices.find(aName);
  if (found == aChoices.end()) {
    throw std::runtime_error(std::string(aFlag) + " has no value " + aName);
  }
  return found->second;
}

Address
Listen(const std::string& aText, const char* aFlag)
{
  const auto address = ParseListenAddress(aText);
  if (!address) {
    throw std::runtime_error(std::string(aFlag) +
                             " is not an IPv4 address and port");
  }
  return *address;
}

void
Convert(const Flags& aFlags, BackendOptions& aOptions)
{
  aOptions.mListen = Listen(aFlags.mListen, "--listen");
  if (!aFlags.mControl.empty()) {
    aOptions.mControl = Listen(aFlags.mControl, "--control");
  }
  constexpr double kMsPerSecond = 1000.0;
  aOptions.mColdTime = Milliseconds(aFlags.mColdSeconds * kMsPerSecond);
  aOptions.mDownTime = Milliseconds(aFlags.mDownSeconds * kMsPerSecond);
  aOptions.mColdGrace = Milliseconds(aFlags.mColdGraceMs);
  aOptions.mSubmissionTime = Milliseconds(aFlags.mSubmissionMs);
  aOptions.mQueryTime = Milliseconds(aFlags.mQueryMs);
  aOptions.mBulkTime = Milliseconds(aFlags.mBulkMs);
  aOptions.mReportLag = Milliseconds(aFlags.mReportLagMs);
  aOptions.mSpread = Choose<Spread>(
    { { "exponential", Spread::Exponential }, { "fixed", Spread::Fixed } },
    aFlags.mDistribution,
    "--distribution");
  aOptions.mShedWith =
    Choose<ShedWith>({ { "503", ShedWith::Unavailable },
                       { "refused", ShedWith::RefusedStream } },
                     aFlags.mShedWith,
                     "--shed-with");
}

} // namespace

int
main(int argc, char** argv)
{
  Flags given;
  BackendOptions options;
  po::options_description flags;
  Declare(flags, given, options);
  asio::io_context context;
  std::unique_ptr<Backend> backend;
  return RunProgram(argc, argv, flags, context, [&] {
    Convert(given, options);
    backend = std::make_unique<Backend>(context, options);
    return backend->LocalAddress();
  });
}
