#pragma once

#include <LibCore/Time.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>

namespace laburnum {

/// Interrupts blocking calls at their deadlines, from a dedicated thread.
class DeadlineWatch {
public:
  using Ticket = std::uint64_t;

  DeadlineWatch();
  ~DeadlineWatch();
  DeadlineWatch(DeadlineWatch const &) = delete;
  DeadlineWatch &operator=(DeadlineWatch const &) = delete;

  /// Runs Interrupt once at Deadline unless the ticket is removed before. It
  /// runs with the lock held: it must be short and must not call this object.
  Ticket add(TimePoint Deadline, std::function<void()> Interrupt);

  /// Moves the deadline of a ticket that has not fired.
  void move(Ticket Watched, TimePoint Deadline);

  /// Returns whether the ticket had fired. Its Interrupt is not running after
  /// this returns.
  bool remove(Ticket Watched);

private:
  struct Entry {
    TimePoint Deadline_;
    TimePoint CheckAt_; ///< Its key in Checks_; not after Deadline_.
    std::function<void()> Interrupt_;
    bool HasFired_ = false;
  };

  void run();
  /// Runs the interrupts that are due and returns the time of the next check.
  TimePoint fireDue(TimePoint Now);
  void wakeBy(TimePoint Deadline);

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::unordered_map<Ticket, Entry> Entries_;
  /// When to check each ticket that has not fired.
  std::set<std::pair<TimePoint, Ticket>> Checks_;
  TimePoint WakesAt_ = TimePoint::max(); ///< When the thread wakes next.
  Ticket NextTicket_ = 1;
  bool IsStopping_ = false;
  std::thread Thread_;
};

} // namespace laburnum
