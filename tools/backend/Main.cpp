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

/// The flags before conversion.
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
DeclareFlags(po::options_description& aFlags,
             Flags& aParsed,
             BackendOptions& aOptions)
{
  const auto add =
    [&aFlags](const char* aName, auto* aValue, const char* aText) {
      aFlags.add_options()(aName, aValue, aText);
    };
  add("listen",
      po::value(&aParsed.mListen)->default_value("127.0.0.1:0"),
      "address of the server");
  add("control",
      po::value(&aParsed.mControl),
      "additional address of /fault, which is served even while the server is "
      "down");
  add("journal",
      po::value(&aOptions.mJournal),
      "file to which request events are appended; - is stdout");
  add("seed", po::value(&aOptions.mSeed)->default_value(1), "random seed");
  add("slots",
      po::value(&aOptions.mSlots)->default_value(4),
      "number of requests processed at the same time");
  add("connections",
      po::value(&aOptions.mConnections)->default_value(2000),
      "maximum number of connections");
  add("cold-seconds",
      po::value(&aParsed.mColdSeconds)->default_value(0),
      "seconds from cold to warm; 0 to start warm");
  add("down-seconds",
      po::value(&aParsed.mDownSeconds)->default_value(3),
      "seconds for which connections are refused after a crash");
  add("cold-grace-ms",
      po::value(&aParsed.mColdGraceMs)->default_value(1000),
      "time during which overload causes no crash after a running server has "
      "become cold without a restart");
  add("submission-ms",
      po::value(&aParsed.mSubmissionMs)->default_value(20),
      "mean service time of a submission");
  add("query-ms",
      po::value(&aParsed.mQueryMs)->default_value(5),
      "mean service time of a query");
  add("bulk-ms",
      po::value(&aParsed.mBulkMs)->default_value(10),
      "mean time before the first byte of a bulk transfer");
  add("distribution",
      po::value(&aParsed.mDistribution)->default_value("exponential"),
      "distribution of service times: exponential or fixed");
  add("shed-from",
      po::value(&aOptions.mShedFrom)->default_value(12),
      "number of requests in flight at which new requests are shed; 0 for "
      "never");
  add("shed-with",
      po::value(&aParsed.mShedWith)->default_value("503"),
      "response to a request that is shed or arrives while draining: 503 or "
      "refused (REFUSED_STREAM)");
  add("report-lag-ms",
      po::value(&aParsed.mReportLagMs)->default_value(0),
      "age of the state that /health and /load report");
}

Duration
Milliseconds(double aCount)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aCount));
}

template<typename T>
T
ParseChoice(const std::map<std::string, T>& aChoices,
            const std::string& aName,
            const char* aFlag)
{
  const auto found = aChoices.find(aName);
  if (found == aChoices.end()) {
    throw std::runtime_error(std::string(aFlag) +
                             " does not accept the value " + aName);
  }
  return found->second;
}

Address
RequireListenAddress(const std::string& aText, const char* aFlag)
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
  aOptions.mListen = RequireListenAddress(aFlags.mListen, "--listen");
  if (!aFlags.mControl.empty()) {
    aOptions.mControl = RequireListenAddress(aFlags.mControl, "--control");
  }
  constexpr double kMsPerSecond = 1000.0;
  aOptions.mColdTime = Milliseconds(aFlags.mColdSeconds * kMsPerSecond);
  aOptions.mDownTime = Milliseconds(aFlags.mDownSeconds * kMsPerSecond);
  aOptions.mColdGrace = Milliseconds(aFlags.mColdGraceMs);
  aOptions.mSubmissionTime = Milliseconds(aFlags.mSubmissionMs);
  aOptions.mQueryTime = Milliseconds(aFlags.mQueryMs);
  aOptions.mBulkTime = Milliseconds(aFlags.mBulkMs);
  aOptions.mReportLag = Milliseconds(aFlags.mReportLagMs);
  aOptions.mServiceTimeDistribution = ParseChoice<ServiceTimeDistribution>(
    { { "exponential", ServiceTimeDistribution::Exponential },
      { "fixed", ServiceTimeDistribution::Fixed } },
    aFlags.mDistribution,
    "--distribution");
  aOptions.mShedWith =
    ParseChoice<ShedWith>({ { "503", ShedWith::Unavailable },
                            { "refused", ShedWith::RefusedStream } },
                          aFlags.mShedWith,
                          "--shed-with");
}

} // namespace

int
main(int argc, char** argv)
{
  Flags parsed;
  BackendOptions options;
  po::options_description flags;
  DeclareFlags(flags, parsed, options);
  asio::io_context context;
  std::unique_ptr<Backend> backend;
  return RunProgram(argc, argv, flags, context, [&] {
    Convert(parsed, options);
    backend = std::make_unique<Backend>(context, options);
    return backend->LocalAddress();
  });
}
