#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <map>

namespace laburnum {

/// Estimates how often a reclaimable server is reclaimed in each data centre:
/// observed reclaims divided by observed server hours, combined with a prior
/// rate that counts as a given number of server hours.
class ReclaimRates {
public:
  ReclaimRates(double PriorPerHour, double PriorHours)
      : PriorPerHour_(PriorPerHour), PriorHours_(PriorHours) {}

  void addServerHours(DataCentre const &Site, std::size_t Servers,
                      Duration Length) {
    using Hours = std::chrono::duration<double, std::ratio<3600>>;
    ByDataCentre_[Site].Hours_ +=
        static_cast<double>(Servers) * Hours(Length).count();
  }

  void addReclaim(DataCentre const &Site) {
    ByDataCentre_[Site].Reclaims_ += 1;
  }

  /// Returns the estimated reclaims of one server per hour.
  double perHour(DataCentre const &Site) const {
    auto const Found = ByDataCentre_.find(Site);
    auto const Known = Found == ByDataCentre_.end() ? History() : Found->second;
    return (PriorPerHour_ * PriorHours_ + Known.Reclaims_) /
           (PriorHours_ + Known.Hours_);
  }

private:
  struct History {
    double Reclaims_ = 0;
    double Hours_ = 0;
  };

  double PriorPerHour_;
  double PriorHours_;
  std::map<DataCentre, History> ByDataCentre_;
};

} // namespace laburnum
