#include <LibTraffic/RouteTable.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <cctype>
#include <functional>
#include <set>

namespace laburnum {

namespace {

std::string lowered(std::string_view Text) {
  std::string Result(Text);
  std::transform(
      Result.begin(), Result.end(), Result.begin(),
      [](unsigned char Character) { return std::tolower(Character); });
  return Result;
}

std::string_view withoutPort(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find_first_of("?#"));
}

} // namespace

std::string normalizedHost(std::string_view Host) {
  return lowered(withoutPort(Host));
}

RouteTable::RouteTable(std::uint64_t Version, std::vector<Route> Routes,
                       std::vector<RoutedService> Services,
                       std::vector<RoutedAccount> Accounts, ClientBounds Bounds)
    : Version_(Version), Routes_(std::move(Routes)),
      Accounts_(std::move(Accounts)), Bounds_(Bounds) {
  for (auto &Service : Services)
    Services_.emplace(Service.Name_, std::move(Service));
  for (auto const &Route : Routes_)
    ByHost_[lowered(Route.Host_)].ByPrefix_.try_emplace(Route.PathPrefix_,
                                                        &Route);
  for (auto &[Host, Indexed] : ByHost_) {
    std::set<std::size_t, std::greater<>> Lengths;
    for (auto const &[Prefix, Route] : Indexed.ByPrefix_)
      Lengths.insert(Prefix.size());
    Indexed.Lengths_.assign(Lengths.begin(), Lengths.end());
  }
  for (auto const &Account : Accounts_)
    for (auto const &Key : Account.Keys_)
      ByKey_.emplace(Key, &Account);
}

Route const *RouteTable::match(std::string_view Host,
                               std::string_view Target) const {
  auto const Found = ByHost_.find(normalizedHost(Host));
  if (Found == ByHost_.end())
    return nullptr;
  auto const Path = pathOf(Target);
  auto const &[ByPrefix, Lengths] = Found->second;
  for (auto const Length : Lengths) {
    if (Length > Path.size())
      continue;
    if (auto const Match = ByPrefix.find(Path.substr(0, Length));
        Match != ByPrefix.end())
      return Match->second;
  }
  return nullptr;
}

RoutedAccount const *RouteTable::accountByKey(std::string_view Key) const {
  auto const Found = ByKey_.find(std::string(Key));
  return Found == ByKey_.end() ? nullptr : Found->second;
}

RoutedService const *RouteTable::service(ServiceName const &Name) const {
  auto const Found = Services_.find(Name);
  return Found == Services_.end() ? nullptr : &Found->second;
}

ServiceName serviceFor(Route const &Route, std::string_view Seed) {
  std::uint64_t Total = 0;
  for (auto const &Share : Route.Services_)
    Total += Share.Weight_;
  if (Total == 0)
    return Route.Services_.empty() ? ServiceName()
                                   : Route.Services_.front().Service_;
  auto Point = stableHash(Seed) % Total;
  for (auto const &Share : Route.Services_) {
    if (Point < Share.Weight_)
      return Share.Service_;
    Point -= Share.Weight_;
  }
  return Route.Services_.back().Service_;
}

} // namespace laburnum
