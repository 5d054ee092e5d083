#include <LibControl/SettingsWatch.h>

#include <utility>

namespace laburnum {

using namespace settings;

namespace {

/// Applies the settings that can change without a restart.
EntrySettings applyReloadable(EntrySettings Before, EntrySettings const &Now) {
  Before.StopGracePeriod_ = Now.StopGracePeriod_;
  Before.RetryRatio_ = Now.RetryRatio_;
  Before.RetrySlack_ = Now.RetrySlack_;
  Before.RetryWindow_ = Now.RetryWindow_;
  Before.QuotaRateTolerance_ = Now.QuotaRateTolerance_;
  Before.QuotaBurstTolerance_ = Now.QuotaBurstTolerance_;
  return Before;
}

} // namespace

PollResult SettingsWatch::poll() {
  auto const Now = Read_();
  if (isError(Now)) {
    auto const &Reason = errorOf(Now);
    if (std::exchange(LastError_, Reason.Message_) == Reason.Message_)
      return Unchanged{};
    return Unreadable{Reason};
  }
  LastError_.clear();
  if (valueOf(Now) == LastRead_)
    return Unchanged{};
  LastRead_ = valueOf(Now);
  InForce_ = applyReloadable(std::move(InForce_), LastRead_);
  return Changed{InForce_, InForce_ == LastRead_ ? ChangeScope::All
                                                 : ChangeScope::Partial};
}

} // namespace laburnum
