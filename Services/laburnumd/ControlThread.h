#pragma once

#include <LibCore/Time.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <functional>
#include <future>
#include <thread>
#include <type_traits>
#include <utility>

namespace laburnum {

/// The single thread that owns the control state: the decision cores, the peer
/// connections and the timers. Other threads post work to it.
class ControlThread {
public:
  ControlThread();
  ~ControlThread();

  asio::io_context &context() { return Context_; }

  void start();
  /// Stops the thread; work that has not started is discarded.
  void stop();

  template <typename Work> void post(Work &&Task) {
    asio::post(Context_, std::forward<Work>(Task));
  }

  /// Runs Task on the control thread and blocks until it returns its value.
  /// Calling it from the control thread or after stop() deadlocks.
  template <typename Work> auto runAndWait(Work Task) {
    using Value = std::invoke_result_t<Work>;
    auto Promise = std::make_shared<std::promise<Value>>();
    auto Future = Promise->get_future();
    post([Promise, Task = std::move(Task)] { Promise->set_value(Task()); });
    return Future.get();
  }

  /// Calls Task on the control thread repeatedly, each time Period after the
  /// previous call returned.
  void schedulePeriodically(Duration Period, std::function<void()> Task);

private:
  asio::io_context Context_;
  asio::executor_work_guard<asio::io_context::executor_type> KeepRunning_;
  std::thread Thread_;
};

} // namespace laburnum
