#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <queue>
#include <thread>

#include <httplib.h>

namespace laburnum {

/// Runs the HTTP server's connections, each on a thread of its own while it
/// lasts. Threads are started as connections need them, up to a bound, and
/// kept for the next; a connection beyond the bound waits in the backlog.
class ElasticTaskQueue : public httplib::TaskQueue {
public:
  explicit ElasticTaskQueue(std::size_t MostThreads)
      : MostThreads_(MostThreads) {}

  void enqueue(std::function<void()> Task) override;
  void shutdown() override;

private:
  void work();

  std::size_t const MostThreads_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::queue<std::function<void()>> Waiting_;
  std::list<std::thread> Threads_;
  std::size_t Idle_ = 0;
  bool Stopping_ = false;
};

} // namespace laburnum
