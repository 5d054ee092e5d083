#pragma once

#include <LibTraffic/RouteTable.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <numeric>
#include <vector>

namespace laburnum::test {

/// Returns a table with one account "a" with this quota in tokens per second
/// and a burst of one second.
inline std::shared_ptr<RouteTable const> tableWith(double RatePerSecond) {
  RoutedAccount Account;
  Account.Name_ = AccountName("a");
  Account.Keys_ = {"k"};
  Account.Quota_ = {QuotaUnit::Tokens, RatePerSecond, RatePerSecond, 200.0};
  return std::make_shared<RouteTable>(1, std::vector<Route>(),
                                      std::vector<RoutedService>(),
                                      std::vector{Account}, ClientBounds{});
}

/// Returns the maximum sum of Span consecutive values.
inline double maxInSpan(std::vector<double> const &Values, std::size_t Span) {
  double Most = 0.0;
  for (std::size_t First = 0; First < Values.size(); ++First) {
    auto const Last = std::min(First + Span, Values.size());
    Most = std::max(Most, std::accumulate(Values.begin() + First,
                                          Values.begin() + Last, 0.0));
  }
  return Most;
}

} // namespace laburnum::test
