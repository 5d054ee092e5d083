#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <future>
#include <thread>

namespace laburnum::entry_process {

/// The thread that runs the stand-ins of the store and the backend servers.
class StandinThread {
public:
  StandinThread() : Thread_([this] { Context_.run(); }) {}
  ~StandinThread() { stop(); }
  StandinThread(StandinThread const &) = delete;
  StandinThread &operator=(StandinThread const &) = delete;

  /// Stops the io_context and joins the thread.
  void stop() {
    Context_.stop();
    if (Thread_.joinable())
      Thread_.join();
  }

  asio::io_context &context() { return Context_; }

  /// Runs Task on the thread and returns its result.
  template <typename Function> auto on(Function Task) {
    std::packaged_task<decltype(Task())()> Packaged(std::move(Task));
    auto Outcome = Packaged.get_future();
    asio::post(Context_, [&Packaged] { Packaged(); });
    return Outcome.get();
  }

private:
  asio::io_context Context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work_{
      Context_.get_executor()};
  std::thread Thread_;
};

} // namespace laburnum::entry_process
