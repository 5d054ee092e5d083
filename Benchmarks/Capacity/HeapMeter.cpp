#include "HeapMeter.h"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::atomic<std::size_t> AllocatedBytes = 0;

} // namespace

void *operator new(std::size_t Size) {
  void *const Block = std::malloc(Size == 0 ? 1 : Size);
  if (!Block)
    throw std::bad_alloc();
  AllocatedBytes += malloc_usable_size(Block);
  return Block;
}

void operator delete(void *Block) noexcept {
  if (!Block)
    return;
  AllocatedBytes -= malloc_usable_size(Block);
  std::free(Block);
}

void operator delete(void *Block, std::size_t /*Size*/) noexcept {
  operator delete(Block);
}

namespace laburnum::bench {

std::size_t heapBytes() { return AllocatedBytes; }

} // namespace laburnum::bench
