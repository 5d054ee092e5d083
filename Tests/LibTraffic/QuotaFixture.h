#pragma once

#include <LibTraffic/RouteTable.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <numeric>
#include <vector>

namespace laburnum::test {

/// A table of one account "a" that may use so many tokens a second, and as many
/// at once.
inline std::shared_ptr<RouteTable const> tableWith(double RatePerSecond) {
  RoutedAccount Account;
  Account.Name_ = AccountName("a");
  Account.Keys_ = {"k"};
  Account.Quota_ = {QuotaUnit::Tokens, RatePerSecond, RatePerSecond, 200.0};
  return std::make_shared<RouteTable>(1, std::vector<Route>(),
                                      std::vector<RoutedService>(),
                                      std::vector{Account}, ClientBounds{});
}

/// The most that any Span values in a row come to.
inline double mostInSpan(std::vector<double> const &Values, std::size_t Span) {
  double Most = 0.0;
  for (std::size_t First = 0; First < Values.size(); ++First) {
    auto const Last = std::min(First + Span, Values.size());
    Most = std::max(Most, std::accumulate(Values.begin() + First,
                                          Values.begin() + Last, 0.0));
  }
  return Most;
}

} // namespace laburnum::test
