#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace laburnum::bench {

/// Runs tasks in the order of their times, and in the order of their planning
/// at equal times; the clock jumps from one to the next.
class VirtualTime {
public:
  TimePoint now() const { return Now_; }
  void after(Duration Pause, std::function<void()> Task);
  void runFor(Duration Span);

private:
  struct Planned {
    TimePoint At_;
    std::uint64_t Order_ = 0;
    std::function<void()> Task_;
  };
  struct IsLater {
    bool operator()(Planned const &Left, Planned const &Right) const {
      return Left.At_ != Right.At_ ? Left.At_ > Right.At_
                                   : Left.Order_ > Right.Order_;
    }
  };

  TimePoint Now_{};
  std::uint64_t NextOrder_ = 0;
  std::priority_queue<Planned, std::vector<Planned>, IsLater> Queue_;
};

} // namespace laburnum::bench
