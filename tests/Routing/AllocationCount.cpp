#include "tests/Routing/AllocationCount.h"

#include <cstdlib>
#include <new>

namespace {

size_t sAllocations = 0;

} // namespace

// In a translation unit of their own: when GCC inlines only one of the two, it
// reports a mismatched allocation and deallocation.
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
