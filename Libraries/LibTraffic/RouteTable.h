#pragma once

#include <LibHttp/HttpListener.h>
#include <LibTraffic/Route.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laburnum {

/// One version of the configuration of routes, services and accounts.
/// Immutable: threads share it by pointer.
class RouteTable {
public:
  RouteTable(std::uint64_t Version, std::vector<Route> Routes,
             std::vector<RoutedService> Services,
             std::vector<RoutedAccount> Accounts, ClientBounds Bounds);
  RouteTable(RouteTable const &) = delete;
  RouteTable &operator=(RouteTable const &) = delete;

  std::uint64_t version() const { return Version_; }
  ClientBounds const &bounds() const { return Bounds_; }

  /// The route of this host with the longest prefix of the path; nullptr when
  /// there is none. A port in Host is ignored.
  Route const *match(std::string_view Host, std::string_view Path) const;
  RoutedAccount const *accountByKey(std::string_view Key) const;
  RoutedService const *service(ServiceName const &Name) const;
  /// Whether requests must name an account at all.
  bool hasAccounts() const { return !Accounts_.empty(); }

  std::vector<Route> const &routes() const { return Routes_; }
  std::vector<RoutedAccount> const &accounts() const { return Accounts_; }
  std::map<ServiceName, RoutedService> const &services() const {
    return Services_;
  }

private:
  std::uint64_t Version_;
  std::vector<Route> Routes_;
  std::vector<RoutedAccount> Accounts_;
  std::map<ServiceName, RoutedService> Services_;
  ClientBounds Bounds_;
  /// Per host, the longest prefix first.
  std::unordered_map<std::string, std::vector<Route const *>> ByHost_;
  std::unordered_map<std::string, RoutedAccount const *> ByKey_;
};

/// The service that a request of this route goes to: the same for the same
/// seed, and over many seeds in proportion to the weights. Nothing when the
/// route names none.
ServiceName serviceFor(Route const &Route, std::string_view Seed);

} // namespace laburnum
