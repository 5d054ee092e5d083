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

/// Interrupts blocking calls at their deadlines, from one thread of its own.
class DeadlineWatch {
public:
  using Ticket = std::uint64_t;

  DeadlineWatch();
  ~DeadlineWatch();
  DeadlineWatch(DeadlineWatch const &) = delete;
  DeadlineWatch &operator=(DeadlineWatch const &) = delete;

  /// Runs Interrupt once at Deadline unless the ticket is removed before.
  /// Interrupt must be short and must not call this object.
  Ticket add(TimePoint Deadline, std::function<void()> Interrupt);

  /// Moves the deadline of a ticket that has not fired.
  void move(Ticket Watched, TimePoint Deadline);

  /// Whether the ticket had fired. Its Interrupt is not running afterwards.
  bool remove(Ticket Watched);

private:
  struct Entry {
    TimePoint Deadline_;
    TimePoint LookAt_; ///< Its place in Looks_, not after Deadline_.
    std::function<void()> Interrupt_;
    bool HasFired_ = false;
  };

  void run();
  /// Fires what is due and returns when to look again.
  TimePoint fireDue(TimePoint Now);
  void wakeBy(TimePoint Deadline);

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::unordered_map<Ticket, Entry> Entries_;
  /// When to look at each ticket that has not fired.
  std::set<std::pair<TimePoint, Ticket>> Looks_;
  TimePoint WakesAt_ = TimePoint::max(); ///< The end of the thread's wait.
  Ticket NextTicket_ = 1;
  bool IsStopping_ = false;
  std::thread Thread_;
};

} // namespace laburnum
