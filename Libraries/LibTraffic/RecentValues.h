#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace laburnum {

/// The latest values of a series. Bounded.
class RecentValues {
public:
  void add(std::uint64_t Value);
  /// Returns the value that nearly all of them have, if it was seen at least
  /// MinCount times.
  std::optional<std::uint64_t> usual(std::size_t MinCount) const;
  std::optional<std::uint64_t> largest() const;

private:
  std::deque<std::uint64_t> Values_; ///< The oldest first.
  std::map<std::uint64_t, std::size_t> Counts_;
};

} // namespace laburnum
