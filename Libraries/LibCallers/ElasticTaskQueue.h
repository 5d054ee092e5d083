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
  /// OnFull is called after a connection was added for which there is no
  /// thread.
  ElasticTaskQueue(std::size_t MaxThreads, std::function<void()> OnFull)
      : MaxThreads_(MaxThreads), OnFull_(std::move(OnFull)) {}

  void enqueue(std::function<void()> Task) override;
  void shutdown() override;

private:
  enum class Room { Present, None };

  Room add(std::function<void()> Task);
  void runWorker();

  std::size_t const MaxThreads_;
  std::function<void()> const OnFull_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::queue<std::function<void()>> Waiting_;
  std::list<std::thread> Threads_;
  std::size_t Idle_ = 0;
  bool IsStopping_ = false;
};

} // namespace laburnum
