#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace laburnum {

/// The contents that servers answered completely in the last seconds, of which
/// a bounded number is remembered.
class RecentAnswers {
public:
  void add(std::uint64_t Fingerprint, TimePoint Now);
  bool contains(std::uint64_t Fingerprint, TimePoint Now) const;

private:
  std::map<std::uint64_t, TimePoint> Last_;
  std::deque<std::pair<TimePoint, std::uint64_t>> InOrder_;
};

} // namespace laburnum
