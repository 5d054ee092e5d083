#pragma once

#include <LibCore/Time.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

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
    std::function<void()> Interrupt_;
    bool HasFired_ = false;
  };

  void run();
  /// Fires what is due and returns the next deadline.
  TimePoint fireDue(TimePoint Now);

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<Ticket, Entry> Entries_;
  Ticket NextTicket_ = 1;
  bool IsStopping_ = false;
  std::thread Thread_;
};

} // namespace laburnum
