#include <LibServing/AccountLimiter.h>

#include <algorithm>
#include <cmath>

namespace laburnum {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double BurstSeconds = 1.0;
constexpr Duration RetryAfterConcurrency = std::chrono::milliseconds(500);
constexpr Duration MaximumRetryAfter = std::chrono::seconds(60);

double burst(double Rate) { return std::max(Rate * BurstSeconds, 1.0); }

/// Returns the time to refill Missing units at Rate units per second.
Duration timeFor(double Missing, double Rate) {
  Seconds const Maximum = MaximumRetryAfter;
  if (Rate * Maximum.count() <= Missing)
    return MaximumRetryAfter;
  return std::chrono::ceil<Duration>(Seconds(Missing / Rate));
}

FailureAnswer limitReached(AccountName const &Account, std::string const &What,
                           Duration RetryAfter) {
  return {{ErrorKind::ResourceExhausted,
           "account " + Account.text() + " has reached its limit of " + What,
           "wait before the next request, or ask the operators for more"},
          RunState::NotRun,
          RetryAfter};
}

} // namespace

void AccountLimiter::setShare(AccountName const &Account, double Share) {
  std::lock_guard const Lock(Mutex_);
  Shares_[Account] = std::clamp(Share, 0.0, 1.0);
}

void AccountLimiter::setDefaultShare(double Share) {
  std::lock_guard const Lock(Mutex_);
  DefaultShare_ = std::clamp(Share, 0.0, 1.0);
}

std::optional<FailureAnswer> AccountLimiter::admit(ClientAccount const &Account,
                                                   std::uint32_t Tokens,
                                                   TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  auto const Limits = limitsOf(Account);
  auto &Used = fill(Account.Name_, Limits, Now);
  if (Used.Running_ >= Limits.ConcurrentRequests_)
    return limitReached(Account.Name_, "concurrent requests",
                        RetryAfterConcurrency);
  if (Used.Requests_ < 1.0)
    return limitReached(
        Account.Name_, "requests a second",
        timeFor(1.0 - Used.Requests_, Limits.RequestsPerSecond_));
  if (Tokens > 0 && Used.Tokens_ <= 0.0)
    return limitReached(Account.Name_, "tokens a second",
                        timeFor(1.0 - Used.Tokens_, Limits.TokensPerSecond_));
  Used.Requests_ -= 1.0;
  Used.Tokens_ -= Tokens;
  ++Used.Running_;
  return std::nullopt;
}

void AccountLimiter::release(AccountName const &Account) {
  std::lock_guard const Lock(Mutex_);
  auto const Found = Usage_.find(Account);
  if (Found != Usage_.end() && Found->second.Running_ > 0)
    --Found->second.Running_;
}

void AccountLimiter::keepOnly(Configuration const &Snapshot) {
  std::lock_guard const Lock(Mutex_);
  std::erase_if(Usage_, [&](auto const &Entry) {
    return Entry.second.Running_ == 0 && !Snapshot.account(Entry.first);
  });
  std::erase_if(Shares_, [&](auto const &Entry) {
    return !Snapshot.account(Entry.first);
  });
}

/// Permits at least one concurrent request, however small the share.
AccountLimits AccountLimiter::limitsOf(ClientAccount const &Account) const {
  auto const Found = Shares_.find(Account.Name_);
  auto const Share = Found == Shares_.end() ? DefaultShare_ : Found->second;
  auto Limits = Account.Limits_;
  Limits.RequestsPerSecond_ *= Share;
  Limits.TokensPerSecond_ *= Share;
  if (Limits.ConcurrentRequests_ > 0)
    Limits.ConcurrentRequests_ = std::max(
        1U, static_cast<std::uint32_t>(Limits.ConcurrentRequests_ * Share));
  return Limits;
}

AccountLimiter::Usage &AccountLimiter::fill(AccountName const &Account,
                                            AccountLimits const &Limits,
                                            TimePoint Now) {
  auto const RequestBurst = burst(Limits.RequestsPerSecond_);
  auto const TokenBurst = burst(Limits.TokensPerSecond_);
  auto &Used =
      Usage_.try_emplace(Account, Usage{RequestBurst, TokenBurst, 0, Now})
          .first->second;
  // Threads read the clock before they take the lock, so Now may be older.
  Seconds const Passed = std::max(Now - Used.Filled_, Duration::zero());
  Used.Requests_ =
      std::min(Used.Requests_ + Passed.count() * Limits.RequestsPerSecond_,
               RequestBurst);
  Used.Tokens_ = std::min(
      Used.Tokens_ + Passed.count() * Limits.TokensPerSecond_, TokenBurst);
  Used.Filled_ = std::max(Used.Filled_, Now);
  return Used;
}

} // namespace laburnum
