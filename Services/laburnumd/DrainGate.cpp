#include "DrainGate.h"

namespace laburnum {

DrainGate::ActiveRequest::ActiveRequest(ActiveRequest &&Other) noexcept
    : Owner_(Other.Owner_) {
  Other.Owner_ = nullptr;
}

DrainGate::ActiveRequest::~ActiveRequest() {
  if (Owner_)
    Owner_->leave();
}

std::optional<DrainGate::ActiveRequest> DrainGate::enter() {
  std::lock_guard const Lock(Mutex_);
  if (IsClosed_)
    return std::nullopt;
  ++InProgress_;
  return ActiveRequest(*this);
}

void DrainGate::leave() {
  std::lock_guard const Lock(Mutex_);
  --InProgress_;
  Changed_.notify_all();
}

bool DrainGate::isReady() const {
  std::lock_guard const Lock(Mutex_);
  return IsReady_;
}

void DrainGate::setUnready() {
  std::lock_guard const Lock(Mutex_);
  IsReady_ = false;
}

void DrainGate::close() {
  std::lock_guard const Lock(Mutex_);
  IsReady_ = false;
  IsClosed_ = true;
}

std::uint32_t DrainGate::inProgress() const {
  std::lock_guard const Lock(Mutex_);
  return InProgress_;
}

bool DrainGate::waitUntilEmpty(Duration Timeout) {
  std::unique_lock Lock(Mutex_);
  return Changed_.wait_for(Lock, Timeout, [this] { return InProgress_ == 0; });
}

} // namespace laburnum
