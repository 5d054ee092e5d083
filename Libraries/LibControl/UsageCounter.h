#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <mutex>

namespace laburnum {

/// Number of requests of each account that started in a window.
using UsageCounts = std::map<AccountName, std::uint64_t>;

/// Counts the requests started on this instance by window of median time.
/// Window k begins k times the length after the start of 1970. Thread-safe.
class UsageCounter {
public:
  explicit UsageCounter(Duration WindowLength) : Length_(WindowLength) {}

  void count(AccountName const &Account, Duration MedianTime);
  std::int64_t windowOf(Duration MedianTime) const {
    return MedianTime.count() / Length_.count();
  }
  Duration endOf(std::int64_t Window) const { return Length_ * (Window + 1); }
  /// Returns the counts of window First and all later ones.
  std::map<std::int64_t, UsageCounts> since(std::int64_t First) const;
  void forgetBefore(std::int64_t First);

private:
  Duration Length_;
  mutable std::mutex Mutex_;
  std::map<std::int64_t, UsageCounts> Windows_;
};

} // namespace laburnum
