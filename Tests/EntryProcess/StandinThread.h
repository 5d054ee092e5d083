#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <future>
#include <thread>

namespace laburnum::entry_process {

/// The thread on which the store and the backend servers of a test live.
class StandinThread {
public:
  StandinThread() : Thread_([this] { Context_.run(); }) {}
  ~StandinThread() { stop(); }
  StandinThread(StandinThread const &) = delete;
  StandinThread &operator=(StandinThread const &) = delete;

  /// Nothing runs there any more when this returns.
  void stop() {
    Context_.stop();
    if (Thread_.joinable())
      Thread_.join();
  }

  asio::io_context &context() { return Context_; }

  /// Runs Task there and waits for it.
  template <typename Function> auto on(Function Task) {
    std::packaged_task<decltype(Task())()> Packed(std::move(Task));
    auto Done = Packed.get_future();
    asio::post(Context_, [&Packed] { Packed(); });
    return Done.get();
  }

private:
  asio::io_context Context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work_{
      Context_.get_executor()};
  std::thread Thread_;
};

} // namespace laburnum::entry_process
