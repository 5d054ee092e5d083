#include <LibCallers/TokenPipe.h>

namespace laburnum {

Continue TokenPipe::push(StreamItem Item) {
  std::unique_lock Lock(Mutex_);
  Changed_.wait(Lock,
                [this] { return IsAbandoned_ || Items_.size() < MaxItems_; });
  if (IsAbandoned_)
    return Continue::No;
  Items_.push_back(std::move(Item));
  Changed_.notify_all();
  return Continue::Yes;
}

StreamItem TokenPipe::pop() {
  std::unique_lock Lock(Mutex_);
  Changed_.wait(Lock, [this] { return !Items_.empty(); });
  auto Item = std::move(Items_.front());
  Items_.pop_front();
  Changed_.notify_all();
  return Item;
}

void TokenPipe::release(Delivery /*Outcome*/) {
  std::lock_guard const Lock(Mutex_);
  IsAbandoned_ = true;
  Changed_.notify_all();
}

} // namespace laburnum
