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

/// Thread pool of the HTTP server: each connection occupies one thread while it
/// lasts. Threads are started on demand up to a maximum and reused; further
/// connections wait in the queue.
class ElasticTaskQueue : public httplib::TaskQueue {
public:
  explicit ElasticTaskQueue(std::size_t MaxThreads) : MaxThreads_(MaxThreads) {}

  void enqueue(std::function<void()> Task) override;
  void shutdown() override;

private:
  void runWorker();

  std::size_t const MaxThreads_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::queue<std::function<void()>> Waiting_;
  std::list<std::thread> Threads_;
  std::size_t Idle_ = 0;
  bool IsStopping_ = false;
};

} // namespace laburnum
