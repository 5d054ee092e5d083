#include <LibCallers/ElasticTaskQueue.h>

namespace laburnum {

void ElasticTaskQueue::enqueue(std::function<void()> Task) {
  std::lock_guard const Lock(Mutex_);
  Waiting_.push(std::move(Task));
  if (Waiting_.size() > Idle_ && Threads_.size() < MaxThreads_)
    Threads_.emplace_back([this] { runWorker(); });
  Changed_.notify_one();
}

void ElasticTaskQueue::shutdown() {
  {
    std::lock_guard const Lock(Mutex_);
    IsStopping_ = true;
  }
  Changed_.notify_all();
  for (auto &Thread : Threads_)
    Thread.join();
}

void ElasticTaskQueue::runWorker() {
  std::unique_lock Lock(Mutex_);
  while (true) {
    ++Idle_;
    Changed_.wait(Lock, [this] { return IsStopping_ || !Waiting_.empty(); });
    --Idle_;
    if (Waiting_.empty())
      return;
    auto Task = std::move(Waiting_.front());
    Waiting_.pop();
    Lock.unlock();
    Task();
    Lock.lock();
  }
}

} // namespace laburnum
