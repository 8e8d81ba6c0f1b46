#include "tools/callers/Options.h"

#include <iostream>

#include <boost/program_options.hpp>

namespace snipepost::tools {

namespace po = boost::program_options;

namespace {

struct RawOptions
{
  std::vector<std::string> mServices;
  std::vector<std::string> mBulkServices;
  double mSeconds = 0;
  double mFlowLifetime = 0;
  std::array<double, kClassCount> mDeadlinesMs{};
};

po::options_description
Describe(Options& aOptions, RawOptions& aRaw)
{
  auto texts = [](std::vector<std::string>& aOut) {
    return po::value(&aOut)->multitoken();
  };
  auto number = [](auto& aOut, auto aDefault) {
    return po::value(&aOut)->default_value(aDefault);
  };
  auto& rates = aOptions.mRates;
  auto& deadlines = aRaw.mDeadlinesMs;
  po::options_description out(
    "callers: open-loop load generator for snipepost");
  out.add_options()("help", "print this help")(
    "service", texts(aRaw.mServices), "service addresses, ip:port")(
    "bulk-service",
    texts(aRaw.mBulkServices),
    "service addresses for bulk downloads (default: --service)")(
    "callers",
    number(aOptions.mCallers, size_t{ 8 }),
    "number of callers per service address")(
    "seed", number(aOptions.mSeed, uint64_t{ 1 }), "random seed")(
    "seconds", number(aRaw.mSeconds, 10.0), "length of the run in seconds")(
    "submissions", number(rates[0], 0.0), "submissions per second")(
    "queries", number(rates[1], 0.0), "queries per second")(
    "bulk", number(rates[2], 0.0), "bulk downloads per second")(
    "sessions", number(rates[3], 0.0), "sessions per second")(
    "submission-deadline-ms",
    number(deadlines[0], 5000.0),
    "deadline of a submission")(
    "query-deadline-ms", number(deadlines[1], 2000.0), "deadline of a query")(
    "bulk-deadline-ms",
    number(deadlines[2], 60000.0),
    "deadline of a bulk download")(
    "session-deadline-ms",
    number(deadlines[3], 30000.0),
    "deadline of a session, added to its length")(
    "bulk-bytes",
    number(aOptions.mBulkBytes, uint64_t{ 1000000 }),
    "size of a bulk download in bytes")(
    "session-seconds",
    number(aOptions.mSessionSeconds, uint64_t{ 5 }),
    "length of a session in seconds")(
    "flow-life",
    number(aRaw.mFlowLifetime, 0.0),
    "mean seconds until a caller replaces its connection; 0 for never")(
    "journals",
    texts(aOptions.mJournals),
    "journals of the backend servers of --service, read after the run")(
    "bulk-journals",
    texts(aOptions.mBulkJournals),
    "journals of the backend servers of --bulk-service")(
    "json", po::value(&aOptions.mJsonFile), "file for the results in JSON")(
    "expect-clean",
    po::bool_switch(&aOptions.mExpectClean),
    "exit with 1 on lost or broken flows, wrong responses, requests run more "
    "than once, and contradictions between responses and journals");
  return out;
}

Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

std::vector<Address>
ParseAddresses(const std::vector<std::string>& aTexts)
{
  std::vector<Address> out;
  for (const std::string& text : aTexts) {
    const auto address = ParseAddress(text);
    if (!address) {
      throw po::error("not an IPv4 address and port: " + text);
    }
    out.push_back(*address);
  }
  return out;
}

void
Convert(const RawOptions& aRaw, Options& aOptions)
{
  aOptions.mServices = ParseAddresses(aRaw.mServices);
  aOptions.mBulkServices = ParseAddresses(aRaw.mBulkServices);
  if (aOptions.mServices.empty()) {
    throw po::error("--service is required");
  }
  if (aOptions.mCallers == 0 || aRaw.mSeconds <= 0) {
    throw po::error("--callers and --seconds must be above 0");
  }
  if (aOptions.mBulkServices.empty()) {
    aOptions.mBulkServices = aOptions.mServices;
  }
  aOptions.mDuration = FromSeconds(aRaw.mSeconds);
  aOptions.mFlowLifetime = FromSeconds(aRaw.mFlowLifetime);
  for (size_t i = 0; i < kClassCount; ++i) {
    aOptions.mDeadlines[i] = FromSeconds(aRaw.mDeadlinesMs[i] / 1000);
  }
  aOptions.mDeadlines[IndexOf(RequestClass::Session)] +=
    std::chrono::seconds(aOptions.mSessionSeconds);
}

} // namespace

std::optional<Options>
ParseOptions(int aCount, char** aArguments, int& aExitCode)
{
  Options options;
  RawOptions raw;
  const po::options_description description = Describe(options, raw);
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aArguments, description), values);
    po::notify(values);
    if (values.count("help") > 0) {
      std::cout << description;
      aExitCode = 0;
      return std::nullopt;
    }
    Convert(raw, options);
  } catch (const po::error& error) {
    std::cerr << "callers: " << error.what() << "\n";
    aExitCode = 2;
    return std::nullopt;
  }
  return options;
}

} // namespace snipepost::tools
