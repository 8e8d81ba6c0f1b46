#include "Program.h"

#include <chrono>
#include <exception>
#include <iostream>

namespace snipepost::tools {

namespace po = boost::program_options;

std::optional<Address>
ParseListenAddress(std::string_view aText)
{
  if (!aText.ends_with(":0")) {
    return ParseAddress(aText);
  }
  std::string text(aText);
  text.back() = '1';
  auto address = ParseAddress(text);
  if (address) {
    address->mPort = 0;
  }
  return address;
}

Instant
Now()
{
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           Now().time_since_epoch())
    .count();
}

int
RunProgram(int aCount,
           char** aArguments,
           const po::options_description& aFlags,
           asio::io_context& aContext,
           const std::function<Address()>& aStart)
{
  try {
    po::options_description flags("Flags");
    flags.add(aFlags).add_options()("help", "print the flags");
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aArguments, flags), values);
    if (values.count("help") != 0) {
      std::cout << flags;
      return 0;
    }
    po::notify(values);
    asio::signal_set signals(aContext, SIGTERM, SIGINT);
    signals.async_wait(
      [&aContext](const asio::error_code&, int) { aContext.stop(); });
    std::cout << "ready " << ToString(aStart()) << std::endl;
    aContext.run();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << aArguments[0] << ": " << error.what() << '\n';
    return 2;
  }
}

} // namespace snipepost::tools
