#include <LibTraffic/ServiceWorkMeter.h>

#include <algorithm>
#include <chrono>

namespace laburnum {

namespace {

/// Smoothing weight of the newest period in the rate of tokens: averages over
/// about two seconds.
constexpr double RateWeight = 0.2;
/// Smoothing weight of the newest request in the mean sizes.
constexpr double SizeWeight = 0.02;
/// Smaller prompts say little of the speed: other times outweigh the reading.
constexpr std::uint64_t MinTokensForSpeed = 1000;
/// Smoothing weights of faster and of slower answers. The fastest ones show
/// what a server reads that has nothing else to do.
constexpr double FasterWeight = 0.1;
constexpr double SlowerWeight = 0.02;
/// A faster answer counts as at most this multiple of the known speed: its
/// server may have kept even the parts that no other request shares.
constexpr double MaxSpeedup = 1.25;

std::uint64_t rounded(double Value) {
  return static_cast<std::uint64_t>(std::max(Value, 0.0) + 0.5);
}

} // namespace

void ServiceWorkMeter::onRequest(ServiceName const &Service,
                                 RequestWork const &Work) {
  auto &Entry = Services_[Service];
  Entry.Tokens_ += Work.unsharedTokens();
  auto const Size = static_cast<double>(Work.unsharedTokens());
  bool const IsFirst = Entry.Size_ <= 0.0;
  auto const Weight = IsFirst ? 1.0 : SizeWeight;
  Entry.Size_ += Weight * (Size - Entry.Size_);
  Entry.SquaredSize_ += Weight * (Size * Size - Entry.SquaredSize_);
}

void ServiceWorkMeter::onFirstEvent(ServiceName const &Service,
                                    RequestWork const &Work, Duration Took) {
  auto const Tokens = Work.unsharedTokens();
  if (Tokens < MinTokensForSpeed || Took <= Duration(0))
    return;
  auto &Known = Services_[Service].ReadPerSecond_;
  auto const Speed = static_cast<double>(Tokens) /
                     std::chrono::duration<double>(Took).count();
  if (Known <= 0.0)
    Known = Speed;
  else if (Speed > Known)
    Known += FasterWeight * (std::min(Speed, MaxSpeedup * Known) - Known);
  else
    Known += SlowerWeight * (Speed - Known);
}

std::vector<ServiceWork> ServiceWorkMeter::report(TimePoint Now) {
  auto const Span = std::chrono::duration<double>(
                        ReportedAt_ == TimePoint::min() ? Duration(0)
                                                        : Now - ReportedAt_)
                        .count();
  ReportedAt_ = Now;
  std::vector<ServiceWork> Reports;
  for (auto &[Service, Entry] : Services_) {
    if (Span > 0.0)
      Entry.TokensPerSecond_ +=
          RateWeight * (static_cast<double>(Entry.Tokens_) / Span -
                        Entry.TokensPerSecond_);
    Entry.Tokens_ = 0;
    auto const Residual =
        Entry.Size_ > 0.0 ? Entry.SquaredSize_ / (2.0 * Entry.Size_) : 0.0;
    Reports.push_back({Service, rounded(Entry.TokensPerSecond_),
                       rounded(Entry.ReadPerSecond_), rounded(Residual)});
  }
  return Reports;
}

std::vector<ServiceWork>
combineWork(std::vector<std::vector<ServiceWork>> const &Reports) {
  struct Sum {
    double Rate_ = 0.0;
    double Speeds_ = 0.0; ///< Weighted by rates, as the next ones.
    double SpeedWeights_ = 0.0;
    double Residuals_ = 0.0;
    double ResidualWeights_ = 0.0;
  };
  std::map<ServiceName, Sum> Sums;
  for (auto const &Report : Reports)
    for (auto const &Work : Report) {
      auto &Sum = Sums[Work.Service_];
      auto const Rate = static_cast<double>(Work.UnsharedPerSecond_);
      Sum.Rate_ += Rate;
      // An instance without requests still knows what it has seen before.
      auto const Weight = Rate + 1.0;
      if (Work.ReadPerSecond_ > 0) {
        Sum.Speeds_ += Weight * static_cast<double>(Work.ReadPerSecond_);
        Sum.SpeedWeights_ += Weight;
      }
      Sum.Residuals_ += Weight * static_cast<double>(Work.ResidualTokens_);
      Sum.ResidualWeights_ += Weight;
    }
  std::vector<ServiceWork> Combined;
  for (auto const &[Service, Sum] : Sums)
    Combined.push_back(
        {Service, rounded(Sum.Rate_),
         Sum.SpeedWeights_ > 0.0 ? rounded(Sum.Speeds_ / Sum.SpeedWeights_) : 0,
         Sum.ResidualWeights_ > 0.0
             ? rounded(Sum.Residuals_ / Sum.ResidualWeights_)
             : 0});
  return Combined;
}

} // namespace laburnum
