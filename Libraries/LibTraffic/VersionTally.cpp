#include <LibTraffic/VersionTally.h>

namespace laburnum {

namespace {

/// An answer is slow that takes this multiple of the usual time.
constexpr double SlowFactor = 2.5;
/// Seconds by which it is later at least: less than that callers hardly notice,
/// and new connections take it.
constexpr double MinDelay = 0.02;
/// Smoothing weight of the newest answer in the usual time.
constexpr double UsualWeight = 0.05;

} // namespace

bool VersionTally::isTarget(Key const &Of) const {
  auto const Found = Targets_.find(Of.Service_);
  return Found != Targets_.end() && Found->second == Of.Version_;
}

void VersionTally::onSent(Key const &Of) {
  auto &Counts = Counts_[Of];
  Counts.Service_ = Of.Service_;
  Counts.Version_ = Of.Version_;
  Counts.Route_ = Of.Route_;
  ++Counts.Running_;
}

void VersionTally::onEnded(Key const &Of, Result Ended, Duration Took) {
  auto const Found = Counts_.find(Of);
  if (Found == Counts_.end())
    return;
  auto &Counts = Found->second;
  if (Counts.Running_ > 0)
    --Counts.Running_;
  if (Ended == Result::Neither)
    return;
  ++Counts.Answers_;
  if (Ended == Result::Failed) {
    ++Counts.Failures_;
    return;
  }
  auto const Seconds = std::chrono::duration<double>(Took).count();
  auto const [Usual, IsFirst] =
      Usual_.try_emplace({Of.Service_, Of.Route_}, Seconds);
  if (!IsFirst && Seconds > SlowFactor * Usual->second &&
      Seconds > MinDelay + Usual->second)
    ++Counts.Slow_;
  if (!isTarget(Of))
    Usual->second += UsualWeight * (Seconds - Usual->second);
}

VersionReport VersionTally::report() const {
  VersionReport Report;
  for (auto const &[Key, Counts] : Counts_)
    if (Targets_.contains(Key.Service_))
      Report.Answers_.push_back(Counts);
  return Report;
}

} // namespace laburnum
