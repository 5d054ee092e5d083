#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace laburnum::faults {

/// Virtual time: work runs in the order of its time and, at the same time, in
/// the order in which it was added.
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
