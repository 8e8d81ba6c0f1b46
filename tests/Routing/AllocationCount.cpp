#include "tests/Routing/AllocationCount.h"

#include <cstdlib>
#include <new>

namespace {

size_t sAllocations = 0;

} // namespace

// These operators are in a translation unit of their own, because GCC reports a
// mismatched allocation and deallocation when it inlines only one of the two.
void*
operator new(size_t aSize)
{
  ++sAllocations;
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void
operator delete(void* aMemory, size_t) noexcept
{
  std::free(aMemory);
}

size_t
snipepost::test::AllocationCount()
{
  return sAllocations;
}
