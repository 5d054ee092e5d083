#pragma once

#include <LibModel/Configuration.h>
#include <LibServing/FailureAnswer.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

namespace laburnum {

/// Enforces this instance's share of each account's limits with token buckets.
/// Thread-safe.
///
/// Each bucket holds one second of its rate. A request may ask for more tokens
/// than are left and puts the bucket into debt; the account then waits until
/// the debt is repaid, so a limit is exceeded by at most one request's tokens.
class AccountLimiter {
public:
  /// Sets the share of an account's limits that this instance grants, 0 to 1.
  void setShare(AccountName const &Account, double Share);
  /// Sets the share of accounts for which setShare() was not called.
  void setDefaultShare(double Share);

  /// Returns nothing if the request is admitted; release() must then be called
  /// once. Tokens is the requested maximum output, 0 for a plain service.
  std::optional<FailureAnswer> admit(ClientAccount const &Account,
                                     std::uint32_t Tokens, TimePoint Now);
  void release(AccountName const &Account);

  /// Removes accounts that are not in the configuration and run nothing.
  void keepOnly(Configuration const &Snapshot);

private:
  struct Usage {
    double Requests_ = 0.0; ///< Remaining requests.
    double Tokens_ = 0.0;   ///< Remaining tokens; negative while in debt.
    std::uint32_t Running_ = 0;
    TimePoint Filled_{};
  };

  AccountLimits limitsOf(ClientAccount const &Account) const;
  Usage &fill(AccountName const &Account, AccountLimits const &Limits,
              TimePoint Now);

  std::mutex Mutex_;
  double DefaultShare_ = 1.0;
  std::map<AccountName, double> Shares_;
  std::map<AccountName, Usage> Usage_;
};

} // namespace laburnum
