#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace laburnum::bench {

/// A discrete-event scheduler: runs tasks in order of their due times, in order
/// of submission for equal times, and advances the clock from one to the next.
class VirtualTime {
public:
  TimePoint now() const { return Now_; }
  void after(Duration Pause, std::function<void()> Task);
  void runFor(Duration Span);

private:
  struct ScheduledTask {
    TimePoint At_;
    std::uint64_t Sequence_ = 0;
    std::function<void()> Task_;
  };
  struct IsLater {
    bool operator()(ScheduledTask const &Left,
                    ScheduledTask const &Right) const {
      return Left.At_ != Right.At_ ? Left.At_ > Right.At_
                                   : Left.Sequence_ > Right.Sequence_;
    }
  };

  TimePoint Now_{};
  std::uint64_t NextSequence_ = 0;
  std::priority_queue<ScheduledTask, std::vector<ScheduledTask>, IsLater>
      Queue_;
};

} // namespace laburnum::bench
