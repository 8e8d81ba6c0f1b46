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

/// Parses "a.b.c.d:port", where port 0 stands for a free port.
std::optional<Address>
ParseListenAddress(std::string_view aText);

/// Monotonic time now.
Instant
Now();

/// Monotonic time now in milliseconds, which is comparable between the
/// processes of one machine.
int64_t
NowMs();

/// Parses the command line, and prints the flags for --help. aStart then
/// creates the servers on the io_context and returns the address to announce;
/// what it creates must live until this function returns, which happens on
/// SIGTERM or SIGINT. Returns the exit code: 0, or 2 for a wrong flag or when
/// aStart throws.
int
RunProgram(int aCount,
           char** aArguments,
           const boost::program_options::options_description& aFlags,
           asio::io_context& aContext,
           const std::function<Address()>& aStart);

} // namespace snipepost::tools
