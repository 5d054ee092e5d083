#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace laburnum::faults {

/// An event queue in virtual time. Events run in the order of their times;
/// events of the same time run in the order in which they were added.
class EventQueue {
public:
  using Work = std::function<void()>;

  TimePoint now() const { return Now_; }

  void after(Duration Delay, Work Next) {
    Waiting_.emplace(std::pair(Now_ + Delay, NextNumber_++), std::move(Next));
  }

  void runUntil(TimePoint End) {
    while (!Waiting_.empty() && Waiting_.begin()->first.first <= End) {
      auto First = Waiting_.extract(Waiting_.begin());
      Now_ = First.key().first;
      First.mapped()();
    }
    Now_ = End;
  }

private:
  TimePoint Now_{std::chrono::seconds(1000)};
  std::uint64_t NextNumber_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Work> Waiting_;
};

} // namespace laburnum::faults
