#pragma once

#include <cstddef>

namespace laburnum::bench {

/// Heap bytes currently allocated, by malloc_usable_size. Linking this replaces
/// the global operators new and delete.
std::size_t heapBytes();

} // namespace laburnum::bench
