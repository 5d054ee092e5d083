#include "HeapMeter.h"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::atomic<std::size_t> Held = 0;

} // namespace

void *operator new(std::size_t Size) {
  void *const Block = std::malloc(Size == 0 ? 1 : Size);
  if (!Block)
    throw std::bad_alloc();
  Held += malloc_usable_size(Block);
  return Block;
}

void operator delete(void *Block) noexcept {
  if (!Block)
    return;
  Held -= malloc_usable_size(Block);
  std::free(Block);
}

void operator delete(void *Block, std::size_t /*Size*/) noexcept {
  operator delete(Block);
}

namespace laburnum::bench {

std::size_t heapBytes() { return Held; }

} // namespace laburnum::bench
