#include <memory>
#include <stdexcept>

#include "ObjectApiServer.h"
#include "tools/common/Program.h"

using namespace snipepost;
using namespace snipepost::tools;

namespace po = boost::program_options;

int
main(int argc, char** argv)
{
  ObjectApiServerOptions options;
  std::string listen;
  po::options_description flags;
  flags.add_options()("listen",
                      po::value(&listen)->default_value("127.0.0.1:0"),
                      "address of the object API and of /fault");
  flags.add_options()(
    "journal",
    po::value(&options.mJournal),
    "file to which accepted writes are appended; - is stdout");
  flags.add_options()("writes-per-second",
                      po::value(&options.mWritesPerSecond)->default_value(400),
                      "rate limit of writes; 0 for none");
  flags.add_options()("reads-per-second",
                      po::value(&options.mReadsPerSecond)->default_value(2000),
                      "rate limit of reads and pending watches; 0 for none");
  asio::io_context context;
  std::unique_ptr<ObjectApiServer> service;
  return RunProgram(argc, argv, flags, context, [&] {
    const auto address = ParseListenAddress(listen);
    if (!address) {
      throw std::runtime_error("--listen is not an IPv4 address and port");
    }
    options.mListen = *address;
    service = std::make_unique<ObjectApiServer>(context, options);
    return service->LocalAddress();
  });
}
