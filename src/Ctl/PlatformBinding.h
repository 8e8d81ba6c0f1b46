#pragma once

#include <memory>
#include <string>

#include <snipepost/Ctl/Environment.h>

namespace snipepost {

/// Connects to the platform's object API.
std::unique_ptr<ObjectStore>
OpenPlatformStore(Address aPlatform);

/// GETs a path from an instance's control address.
InstanceAnswer
AskInstance(Address aControl, const std::string& aPath);

} // namespace snipepost
