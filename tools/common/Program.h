#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <asio.hpp>
#include <boost/program_options.hpp>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

namespace snipepost::tools {

/// Parses "a.b.c.d:port"; port 0 selects a free port.
std::optional<Address>
ParseListenAddress(std::string_view aText);

/// Current time of the monotonic clock.
Instant
Now();

/// Current time of the monotonic clock in milliseconds, comparable between
/// processes on the same machine.
int64_t
NowMs();

/// Parses the command line, and prints the flags for --help. Otherwise aStart
/// creates the servers on the io_context and returns the address to print; they
/// must outlive this call, which ends on SIGTERM or SIGINT. Returns the exit
/// code: 0, or 2 for an invalid flag or an exception from aStart.
int
RunProgram(int aCount,
           char** aArguments,
           const boost::program_options::options_description& aFlags,
           asio::io_context& aContext,
           const std::function<Address()>& aStart);

} // namespace snipepost::tools
