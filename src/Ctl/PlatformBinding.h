#pragma once

#include <memory>
#include <string>

#include <snipepost/Ctl/Environment.h>

namespace snipepost {

/// Connects to the platform's object API.
std::unique_ptr<ObjectStore>
OpenPlatformStore(Address aPlatform);

/// Sends a GET for aPath to an instance's control address.
InstanceResponse
QueryInstance(Address aControl, const std::string& aPath);

} // namespace snipepost
