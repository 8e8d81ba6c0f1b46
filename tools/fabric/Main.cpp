#include <iostream>

#include <asio.hpp>

#include <snipepost/Settings/Schema.h>

#include <tools/fabric/Fabric.h>

using namespace snipepost;
using namespace snipepost::tools;

namespace {

struct FabricFlags
{
  Address mListen;
  Address mControl;
  std::vector<Address> mServices;
  std::vector<Address> mEntries;
  uint64_t mSeed = 1;
  double mLoss = 0;
  double mDuplicate = 0;
  double mReorder = 0;
  std::chrono::milliseconds mDelay{};
  std::chrono::milliseconds mJitter{};
};

Schema<FabricFlags>
FabricSchema()
{
  using F = FabricFlags;
  Schema<FabricFlags> schema;
  schema.Add("listen", &F::mListen, "", "address towards the entry instances")
    .Add("control", &F::mControl, "", "address of POST /fault")
    .Add(
      "services", &F::mServices, "", "service addresses, separated by commas")
    .Add("entries",
         &F::mEntries,
         "",
         "addresses of the entry instances, separated by commas")
    .Add("seed", &F::mSeed, "1", "random seed")
    .Add("loss", &F::mLoss, "0", "fraction of datagrams lost")
    .Add("duplicate", &F::mDuplicate, "0", "fraction of datagrams duplicated")
    .Add("reorder",
         &F::mReorder,
         "0",
         "fraction of datagrams delayed by another 10 ms")
    .Add("delay-ms", &F::mDelay, "0", "one-way delay")
    .Add("jitter-ms", &F::mJitter, "0", "maximum random addition to the delay");
  return schema;
}

FabricSettings
ToSettings(const FabricFlags& aFlags)
{
  FabricSettings settings;
  settings.mListen = aFlags.mListen;
  settings.mControl = aFlags.mControl;
  settings.mServices = aFlags.mServices;
  settings.mEntries = aFlags.mEntries;
  settings.mSeed = aFlags.mSeed;
  settings.mImpairment = { aFlags.mLoss,
                           aFlags.mDuplicate,
                           aFlags.mReorder,
                           aFlags.mDelay,
                           aFlags.mJitter };
  return settings;
}

} // namespace

int
main(int argc, char** argv)
{
  const auto schema = FabricSchema();
  FabricFlags flags;
  const auto report =
    schema.Load({ argv + 1, argv + argc }, ProcessEnvironment(), flags);
  if (report.mRequest == SettingsRequest::Help) {
    std::cout << HelpText("fabric", schema.Specs());
    return 0;
  }
  for (const std::string& error : report.mErrors) {
    std::cerr << "fabric: " << error << '\n';
  }
  if (!report.mErrors.empty()) {
    return 2;
  }
  try {
    asio::io_context context(1);
    Fabric fabric(context, ToSettings(flags));
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, int) { context.stop(); });
    std::cout << "ready " << ToString(flags.mListen) << std::endl;
    context.run();
  } catch (const std::system_error& error) {
    std::cerr << "fabric: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
