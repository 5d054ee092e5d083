#include <LibControl/SettingsWatch.h>

#include <utility>

namespace laburnum {

using namespace settings;

namespace {

/// Takes over what a running program can change.
EntrySettings takeOver(EntrySettings Before, EntrySettings const &Now) {
  Before.StopGracePeriod_ = Now.StopGracePeriod_;
  Before.RetryRatio_ = Now.RetryRatio_;
  Before.RetrySlack_ = Now.RetrySlack_;
  Before.RetryWindow_ = Now.RetryWindow_;
  Before.QuotaRateTolerance_ = Now.QuotaRateTolerance_;
  Before.QuotaBurstTolerance_ = Now.QuotaBurstTolerance_;
  return Before;
}

} // namespace

Look SettingsWatch::look() {
  auto const Now = Read_();
  if (isError(Now)) {
    auto const &Reason = errorOf(Now);
    if (std::exchange(LastProblem_, Reason.Message_) == Reason.Message_)
      return Unchanged{};
    return Unreadable{Reason};
  }
  LastProblem_.clear();
  if (valueOf(Now) == Told_)
    return Unchanged{};
  Told_ = valueOf(Now);
  InForce_ = takeOver(std::move(InForce_), Told_);
  return Changed{InForce_, InForce_ == Told_ ? Reach::All : Reach::Part};
}

} // namespace laburnum
