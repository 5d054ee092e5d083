#include <LibTraffic/EngineBacklog.h>

#include <algorithm>

namespace laburnum {

namespace {

/// Sums are used until this many further ones are missed, and at least for
/// MinValidity: a collector may just have been replaced.
constexpr int MissedSums = 4;
constexpr std::chrono::milliseconds MinValidity{2000};
/// Smoothing weight of the newest period in the preferred tokens a second:
/// averages over about two seconds.
constexpr double PreferredWeight = 0.2;

std::uint64_t without(std::uint64_t Sum, std::uint64_t Part) {
  return Sum - std::min(Sum, Part);
}

void subtract(std::uint64_t &From, std::uint64_t Part) {
  From = without(From, Part);
}

} // namespace

void EngineBacklog::onSent(ServerId const &Incarnation,
                           RequestWork const &Work) {
  auto &Server = Own_[Incarnation];
  Server.UnreadTokens_ += Work.unsharedTokens();
  Server.MemoryTokens_ += Work.memoryTokens();
}

void EngineBacklog::onRead(ServerId const &Incarnation,
                           RequestWork const &Work) {
  subtract(Own_[Incarnation].UnreadTokens_, Work.unsharedTokens());
}

void EngineBacklog::onEnded(ServerId const &Incarnation,
                            RequestWork const &Work, Progress At) {
  auto &Server = Own_[Incarnation];
  subtract(Server.MemoryTokens_, Work.memoryTokens());
  if (At == Progress::Unread)
    subtract(Server.UnreadTokens_, Work.unsharedTokens());
}

void EngineBacklog::onPreferred(ServerId const &Incarnation,
                                RequestWork const &Work) {
  Own_[Incarnation].PreferredTokens_ += Work.unsharedTokens();
}

std::vector<ServerWork> EngineBacklog::report(TimePoint Now) {
  auto const Span =
      std::chrono::duration<double>(
          ReportedAt_ == TimePoint::min() ? Duration(0) : Now - ReportedAt_)
          .count();
  ReportedAt_ = Now;
  std::vector<ServerWork> Servers;
  for (auto &[Incarnation, Server] : Own_) {
    if (Span > 0.0)
      Server.PreferredPerSecond_ +=
          PreferredWeight *
          (static_cast<double>(Server.PreferredTokens_) / Span -
           Server.PreferredPerSecond_);
    Server.PreferredTokens_ = 0;
    Server.LastReported_ = {
        Incarnation, Server.UnreadTokens_, Server.MemoryTokens_,
        static_cast<std::uint64_t>(Server.PreferredPerSecond_)};
    if (!Server.isIdle())
      Servers.push_back(Server.LastReported_);
  }
  std::erase_if(Own_, [](auto const &Entry) { return Entry.second.isIdle(); });
  return Servers;
}

void EngineBacklog::onSum(std::vector<ServerWork> const &Servers,
                          TimePoint Now) {
  SumAt_ = Now;
  Remote_.clear();
  for (auto const &Sum : Servers) {
    auto const Found = Own_.find(Sum.Incarnation_);
    auto const Reported =
        Found == Own_.end() ? ServerWork() : Found->second.LastReported_;
    Remote_[Sum.Incarnation_] = {
        without(Sum.UnreadTokens_, Reported.UnreadTokens_),
        without(Sum.MemoryTokens_, Reported.MemoryTokens_),
        static_cast<double>(Sum.PreferredPerSecond_)};
  }
}

void EngineBacklog::setReportPeriod(Duration Period) {
  Validity_ = std::max<Duration>(MinValidity, Period * MissedSums);
}

bool EngineBacklog::isFresh(TimePoint Now) const {
  return SumAt_ != TimePoint::min() && SumAt_ + Validity_ >= Now;
}

EngineBacklog::Load EngineBacklog::load(ServerId const &Incarnation,
                                        TimePoint Now) const {
  Load Sum;
  if (auto const Found = Own_.find(Incarnation); Found != Own_.end())
    Sum = {Found->second.UnreadTokens_, Found->second.MemoryTokens_,
           Found->second.PreferredPerSecond_};
  auto const Found = Remote_.find(Incarnation);
  if (Found == Remote_.end() || !isFresh(Now))
    return Sum;
  Sum.UnreadTokens_ += Found->second.UnreadTokens_;
  Sum.MemoryTokens_ += Found->second.MemoryTokens_;
  Sum.PreferredPerSecond_ = Found->second.PreferredPerSecond_;
  return Sum;
}

} // namespace laburnum
