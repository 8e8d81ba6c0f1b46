#include "src/Ctl/PlatformBinding.h"

namespace snipepost {

namespace {

/// Refuses every call until module Platform is merged.
class UnboundStore : public ObjectStore
{
public:
  StoreAnswer Get(const std::string&) override { return mRefused; }
  StoreAnswer List(const std::string&) override { return mRefused; }
  StoreAnswer Put(const std::string&,
                  const std::string&,
                  std::optional<ObjectVersion>) override
  {
    return mRefused;
  }

private:
  const StoreAnswer mRefused{ StoreOutcome::Refused, {} };
};

} // namespace

std::unique_ptr<ObjectStore>
OpenPlatformStore(Address)
{
  return std::make_unique<UnboundStore>();
}

InstanceAnswer
AskInstance(Address, const std::string&)
{
  return {};
}

} // namespace snipepost
