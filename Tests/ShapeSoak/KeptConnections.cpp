#include "KeptConnections.h"

namespace laburnum::shape_soak {

namespace {

/// Less than instances keep them.
constexpr std::chrono::seconds LongestIdle{1};

} // namespace

std::unique_ptr<ShapeClient> KeptConnections::take(std::string const &Address) {
  std::lock_guard const Lock(Mutex_);
  auto &Of = Idle_[Address];
  while (!Of.empty()) {
    auto Taken = std::move(Of.front());
    Of.pop_front();
    auto const Before = Taken.Connection_->received().size();
    if (!Taken.Connection_->readWithin(std::chrono::milliseconds(0)) &&
        readClock() < Taken.End_)
      return std::move(Taken.Connection_);
    Unasked_ += Taken.Connection_->received().size() > Before ? 1 : 0;
  }
  return nullptr;
}

void KeptConnections::put(std::string const &Address,
                          std::unique_ptr<ShapeClient> Kept) {
  std::lock_guard const Lock(Mutex_);
  Idle_[Address].push_back({std::move(Kept), readClock() + LongestIdle});
}

std::uint64_t KeptConnections::unasked() {
  std::lock_guard const Lock(Mutex_);
  return Unasked_;
}

} // namespace laburnum::shape_soak
