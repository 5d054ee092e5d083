#include <LibCallers/ElasticTaskQueue.h>

namespace laburnum {

void ElasticTaskQueue::enqueue(std::function<void()> Task) {
  if (add(std::move(Task)) == Room::None)
    OnFull_();
}

ElasticTaskQueue::Room ElasticTaskQueue::add(std::function<void()> Task) {
  std::lock_guard const Lock(Mutex_);
  Waiting_.push(std::move(Task));
  Changed_.notify_one();
  if (Waiting_.size() <= Idle_)
    return Room::Present;
  if (Threads_.size() == MaxThreads_)
    return Room::None;
  Threads_.emplace_back([this] { runWorker(); });
  return Room::Present;
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
