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

/// An immutable version of the configured routes, services and accounts.
/// Threads share it by pointer.
class RouteTable {
public:
  RouteTable(std::uint64_t Version, std::vector<Route> Routes,
             std::vector<RoutedService> Services,
             std::vector<RoutedAccount> Accounts, ClientBounds Bounds);
  RouteTable(RouteTable const &) = delete;
  RouteTable &operator=(RouteTable const &) = delete;

  std::uint64_t version() const { return Version_; }
  ClientBounds const &bounds() const { return Bounds_; }

  /// Returns the host's route with the longest prefix of the path, or nullptr.
  /// A port in Host is ignored.
  Route const *match(std::string_view Host, std::string_view Path) const;
  RoutedAccount const *accountByKey(std::string_view Key) const;
  RoutedService const *service(ServiceName const &Name) const;
  /// Returns whether any accounts are configured; without them requests need
  /// no account.
  bool hasAccounts() const { return !Accounts_.empty(); }

  std::vector<Route> const &routes() const { return Routes_; }
  std::vector<RoutedAccount> const &accounts() const { return Accounts_; }
  std::map<ServiceName, RoutedService> const &services() const {
    return Services_;
  }

private:
  /// The routes of one host by their prefixes, which point into the routes.
  struct HostRoutes {
    std::unordered_map<std::string_view, Route const *> ByPrefix_;
    std::vector<std::size_t> Lengths_; ///< Of the prefixes, longest first.
  };

  std::uint64_t Version_;
  std::vector<Route> Routes_;
  std::vector<RoutedAccount> Accounts_;
  std::map<ServiceName, RoutedService> Services_;
  ClientBounds Bounds_;
  std::unordered_map<std::string, HostRoutes> ByHost_;
  std::unordered_map<std::string, RoutedAccount const *> ByKey_;
};

/// Returns the host in lower case, without a port.
std::string normalizedHost(std::string_view Host);

/// Chooses the service for a request on the route: the same for equal seeds,
/// and in proportion to the weights over many seeds. Returns an empty name if
/// the route has no services.
ServiceName serviceFor(Route const &Route, std::string_view Seed);

} // namespace laburnum
