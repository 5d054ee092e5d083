#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <map>

namespace laburnum {

/// How often a reclaimable server is taken back in each data centre: the
/// reclaims seen against the hours of servers watched, from a prior that
/// weighs as much as some hours of its own.
class ReclaimRates {
public:
  ReclaimRates(double PriorPerHour, double PriorHours)
      : PriorPerHour_(PriorPerHour), PriorHours_(PriorHours) {}

  void watched(DataCentre const &Where, std::size_t Servers, Duration Length) {
    using Hours = std::chrono::duration<double, std::ratio<3600>>;
    Seen_[Where].Hours_ += static_cast<double>(Servers) * Hours(Length).count();
  }

  void reclaimed(DataCentre const &Where) { Seen_[Where].Reclaims_ += 1; }

  /// Reclaims of one server in an hour.
  double perHour(DataCentre const &Where) const {
    auto const Found = Seen_.find(Where);
    auto const Seen = Found == Seen_.end() ? History() : Found->second;
    return (PriorPerHour_ * PriorHours_ + Seen.Reclaims_) /
           (PriorHours_ + Seen.Hours_);
  }

private:
  struct History {
    double Reclaims_ = 0;
    double Hours_ = 0;
  };

  double PriorPerHour_;
  double PriorHours_;
  std::map<DataCentre, History> Seen_;
};

} // namespace laburnum
