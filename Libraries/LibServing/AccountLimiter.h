#pragma once

#include <LibModel/Configuration.h>
#include <LibServing/FailureAnswer.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

namespace laburnum {

/// Holds each account to this instance's share of its limits. Safe to call from
/// several threads.
///
/// A second's worth of each rate may be used at once. A request may ask for
/// more tokens than are left, and the account then waits until the debt is
/// paid, so that a limit is overrun by at most one request's tokens.
class AccountLimiter {
public:
  /// The part of an account's limits that this instance gives out, 0 to 1.
  void setShare(AccountName const &Account, double Share);
  /// The part for accounts without a share of their own.
  void setDefaultShare(double Share);

  /// Nothing when the request is admitted; it is then released once. Tokens is
  /// what it asks to be generated, 0 for a plain service.
  std::optional<FailureAnswer> admit(ClientAccount const &Account,
                                     std::uint32_t Tokens, TimePoint Now);
  void release(AccountName const &Account);

  /// Forgets accounts that are in no configuration and run nothing.
  void keepOnly(Configuration const &Snapshot);

private:
  struct Usage {
    double Requests_ = 0.0; ///< Left to use now.
    double Tokens_ = 0.0;   ///< Left to use now; below zero is debt.
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
