#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <mutex>

namespace laburnum {

/// Requests of each account that began to run in a window.
using UsageCounts = std::map<AccountName, std::uint64_t>;

/// Counts what began to run here by window of true time. Window k begins k
/// times the length after the start of 1970. Any thread may use it.
class UsageCounter {
public:
  explicit UsageCounter(Duration WindowLength) : Length_(WindowLength) {}

  void count(AccountName const &Account, Duration TrueTime);
  std::int64_t windowOf(Duration TrueTime) const {
    return TrueTime.count() / Length_.count();
  }
  Duration endOf(std::int64_t Window) const { return Length_ * (Window + 1); }
  /// The counts of the windows from First on.
  std::map<std::int64_t, UsageCounts> since(std::int64_t First) const;
  void forgetBefore(std::int64_t First);

private:
  Duration Length_;
  mutable std::mutex Mutex_;
  std::map<std::int64_t, UsageCounts> Windows_;
};

} // namespace laburnum
