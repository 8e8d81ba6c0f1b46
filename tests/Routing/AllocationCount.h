#pragma once

#include <cstddef>

namespace snipepost::test {

/// Number of calls of operator new in this test program so far.
size_t
AllocationCount();

} // namespace snipepost::test
