#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <set>

namespace laburnum::shape_soak {

/// The instances that get new connections.
class Rotation {
public:
  void add(std::size_t Instance);
  void remove(std::size_t Instance);
  /// Draws an instance, another one than Except if there is one.
  std::size_t draw(std::mt19937_64 &Numbers,
                   std::optional<std::size_t> Except = std::nullopt);

private:
  std::mutex Mutex_;
  std::set<std::size_t> Instances_;
  std::size_t Last_ = 0; ///< The one that was removed last.
};

} // namespace laburnum::shape_soak
