#include <LibTraffic/IncarnationConsumption.h>

#include <utility>

namespace laburnum {

std::vector<AccountConsumption>
IncarnationConsumption::take(std::vector<AccountConsumption> const &Reported) {
  bool const IsKnown = std::exchange(HasReport_, true);
  std::vector<AccountConsumption> Growth;
  for (auto const &One : Reported) {
    auto const First = IsKnown ? AccountConsumption{One.Account_, 0, 0} : One;
    auto &Total = Totals_.try_emplace(One.Account_, First).first->second;
    bool const IsLate =
        One.Admitted_ < Total.Admitted_ || One.Asked_ < Total.Asked_;
    auto const Last = IsLate ? Total : std::exchange(Total, One);
    Growth.push_back({One.Account_, Total.Admitted_ - Last.Admitted_,
                      Total.Asked_ - Last.Asked_});
  }
  return Growth;
}

} // namespace laburnum
