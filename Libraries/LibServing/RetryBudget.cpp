#include <LibServing/RetryBudget.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

constexpr double MinimumRetriesPerSecond = 1.0;
/// Limits the retries that accumulate while a service is healthy.
constexpr double MaximumTokens = 100.0;
constexpr double InitialTokens = 2.0;

} // namespace

void RetryBudget::setSnapshot(std::shared_ptr<Configuration const> Snapshot) {
  std::lock_guard const Lock(Mutex_);
  Snapshot_ = std::move(Snapshot);
  std::erase_if(Buckets_, [&](auto const &Entry) {
    return !Snapshot_->service(Entry.first);
  });
}

void RetryBudget::countRequest(ServiceName const &Service, TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  auto const *Found = Snapshot_->service(Service);
  if (!Found)
    return;
  auto &Filled = fill(Service, Now);
  Filled.Tokens_ =
      std::min(Filled.Tokens_ + Found->RetryBudget_, MaximumTokens);
}

bool RetryBudget::tryTake(ServiceName const &Service, TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  auto const *Found = Snapshot_->service(Service);
  if (!Found || Found->RetryBudget_ <= 0.0)
    return false;
  auto &Filled = fill(Service, Now);
  if (Filled.Tokens_ < 1.0)
    return false;
  Filled.Tokens_ -= 1.0;
  return true;
}

RetryBudget::Bucket &RetryBudget::fill(ServiceName const &Service,
                                       TimePoint Now) {
  auto &Filled =
      Buckets_.try_emplace(Service, Bucket{InitialTokens, Now}).first->second;
  // Threads read the clock before they take the lock, so Now may be older.
  if (Now <= Filled.Filled_)
    return Filled;
  std::chrono::duration<double> const Passed = Now - Filled.Filled_;
  Filled.Tokens_ = std::min(
      Filled.Tokens_ + Passed.count() * MinimumRetriesPerSecond, MaximumTokens);
  Filled.Filled_ = Now;
  return Filled;
}

} // namespace laburnum
