#pragma once

#include <cstddef>

namespace snipepost::test {

/// Number of calls of operator new so far in this test program.
size_t
AllocationCount();

} // namespace snipepost::test
