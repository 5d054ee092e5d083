#include "ControlThread.h"

#include <asio/steady_timer.hpp>

#include <memory>

namespace laburnum {

ControlThread::ControlThread() : KeepRunning_(Context_.get_executor()) {}

ControlThread::~ControlThread() { stop(); }

void ControlThread::start() {
  Thread_ = std::thread([this] { Context_.run(); });
}

void ControlThread::stop() {
  Context_.stop();
  if (Thread_.joinable())
    Thread_.join();
}

namespace {

/// A timer that rearms itself after each call of its task.
class PeriodicTimer : public std::enable_shared_from_this<PeriodicTimer> {
public:
  PeriodicTimer(asio::io_context &Context, Duration Period,
                std::function<void()> Task)
      : Timer_(Context), Period_(Period), Task_(std::move(Task)) {}

  void schedule() {
    Timer_.expires_after(Period_);
    Timer_.async_wait([Self = shared_from_this()](asio::error_code Failure) {
      if (Failure)
        return;
      Self->Task_();
      Self->schedule();
    });
  }

private:
  asio::steady_timer Timer_;
  Duration const Period_;
  std::function<void()> const Task_;
};

} // namespace

void ControlThread::schedulePeriodically(Duration Period,
                                         std::function<void()> Task) {
  std::make_shared<PeriodicTimer>(Context_, Period, std::move(Task))
      ->schedule();
}

} // namespace laburnum
