#pragma once

#include <cstddef>

namespace laburnum::bench {

/// Bytes that the program holds on the heap now, as the allocator counts them.
/// The program's operators new and delete are replaced to know it.
std::size_t heapBytes();

} // namespace laburnum::bench
