#include <LibTraffic/ServiceWorkMeter.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace laburnum {

namespace {

/// Smoothing weight of the newest period in the rate of tokens: averages over
/// about two seconds.
constexpr double RateWeight = 0.2;
/// After this time an answer counts by a factor of e less.
constexpr std::chrono::seconds AnswerMemory{10};
/// Fewer answers say nothing of the speed.
constexpr std::uint64_t MinAnswers = 40;

std::uint64_t rounded(double Value) {
  return static_cast<std::uint64_t>(std::llround(std::max(Value, 0.0)));
}

/// Averages the tokens of the last Seconds into a rate.
void smooth(double &PerSecond, std::uint64_t Tokens, double Seconds) {
  PerSecond += RateWeight * (static_cast<double>(Tokens) / Seconds - PerSecond);
}

} // namespace

void ServiceWorkMeter::onRequest(ServiceName const &Service,
                                 RequestWork const &Work, Urgency Due) {
  auto &Entry = Services_[Service];
  Entry.NewTokens_ += Work.unsharedTokens();
  if (Due == Urgency::Urgent)
    Entry.NewUrgentTokens_ += Work.unsharedTokens();
}

void ServiceWorkMeter::onFirstEvent(ServiceName const &Service,
                                    RequestWork const &Work, Duration Took) {
  auto &Entry = Services_[Service];
  auto const Tokens = static_cast<double>(Work.unsharedTokens());
  auto const Time = std::chrono::duration<double, std::milli>(Took).count();
  Entry.Answers_ += 1.0;
  Entry.Tokens_ += Tokens;
  Entry.SquaredTokens_ += Tokens * Tokens;
  Entry.Milliseconds_ += Time;
  Entry.TokenMilliseconds_ += Tokens * Time;
}

std::vector<ServiceWork> ServiceWorkMeter::report(TimePoint Now) {
  auto const Span =
      std::chrono::duration<double>(
          ReportedAt_ == TimePoint::min() ? Duration(0) : Now - ReportedAt_)
          .count();
  ReportedAt_ = Now;
  auto const Retained =
      std::exp(-Span / std::chrono::duration<double>(AnswerMemory).count());
  std::vector<ServiceWork> Reports;
  for (auto &[Service, Entry] : Services_) {
    if (Span > 0.0) {
      smooth(Entry.TokensPerSecond_, Entry.NewTokens_, Span);
      smooth(Entry.UrgentPerSecond_, Entry.NewUrgentTokens_, Span);
    }
    Entry.NewTokens_ = Entry.NewUrgentTokens_ = 0;
    for (auto *const Sum :
         {&Entry.Answers_, &Entry.Tokens_, &Entry.SquaredTokens_,
          &Entry.Milliseconds_, &Entry.TokenMilliseconds_})
      *Sum *= Retained;
    Reports.push_back({Service, rounded(Entry.TokensPerSecond_),
                       rounded(Entry.UrgentPerSecond_), rounded(Entry.Answers_),
                       rounded(Entry.Tokens_), rounded(Entry.SquaredTokens_),
                       rounded(Entry.Milliseconds_),
                       rounded(Entry.TokenMilliseconds_)});
  }
  return Reports;
}

std::vector<ServiceWork>
sumOf(std::vector<std::vector<ServiceWork>> const &Reports) {
  std::map<ServiceName, ServiceWork> Sums;
  for (auto const &Report : Reports)
    for (auto const &Work : Report) {
      auto &Sum = Sums[Work.Service_];
      Sum.Service_ = Work.Service_;
      Sum.UnsharedPerSecond_ += Work.UnsharedPerSecond_;
      Sum.UrgentPerSecond_ += Work.UrgentPerSecond_;
      Sum.Answers_ += Work.Answers_;
      Sum.Tokens_ += Work.Tokens_;
      Sum.SquaredTokens_ += Work.SquaredTokens_;
      Sum.Milliseconds_ += Work.Milliseconds_;
      Sum.TokenMilliseconds_ += Work.TokenMilliseconds_;
    }
  std::vector<ServiceWork> List;
  for (auto const &[Service, Sum] : Sums)
    List.push_back(Sum);
  return List;
}

std::optional<double> readingSpeed(ServiceWork const &Work) {
  if (Work.Answers_ < MinAnswers)
    return std::nullopt;
  auto const Answers = static_cast<double>(Work.Answers_);
  auto const Tokens = static_cast<double>(Work.Tokens_);
  auto const Variance =
      static_cast<double>(Work.SquaredTokens_) - Tokens * Tokens / Answers;
  auto const Covariance =
      static_cast<double>(Work.TokenMilliseconds_) -
      Tokens * static_cast<double>(Work.Milliseconds_) / Answers;
  if (Variance <= 0.0 || Covariance <= 0.0)
    return std::nullopt;
  constexpr double MillisecondsPerSecond = 1000.0;
  return MillisecondsPerSecond * Variance / Covariance;
}

double residualTokens(ServiceWork const &Work) {
  return Work.Tokens_ == 0 ? 0.0
                           : static_cast<double>(Work.SquaredTokens_) /
                                 (2.0 * static_cast<double>(Work.Tokens_));
}

} // namespace laburnum
