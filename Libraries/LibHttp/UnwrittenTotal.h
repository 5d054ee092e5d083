#pragma once

#include <cstddef>

namespace laburnum {

/// Memory that unwritten bytes take on all connections that share it, in bytes.
/// Used on one thread.
class UnwrittenTotal {
public:
  void add(std::size_t Bytes) { Bytes_ += Bytes; }
  void remove(std::size_t Bytes) { Bytes_ -= Bytes; }
  std::size_t bytes() const { return Bytes_; }

private:
  std::size_t Bytes_ = 0;
};

} // namespace laburnum
