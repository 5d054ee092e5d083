#pragma once

#include <LibCore/Identifier.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace laburnum {

/// Requests at one incarnation of a model server, in tokens.
struct ServerWork {
  ServerId Incarnation_;
  /// Prompt tokens of requests that have not begun to answer.
  std::uint64_t UnreadTokens_ = 0;
  /// Tokens that the requests in progress hold in memory, at most.
  std::uint64_t MemoryTokens_ = 0;
  /// Prompt tokens a second of requests whose shared parts the server is
  /// preferred for, wherever they were sent.
  std::uint64_t PreferredPerSecond_ = 0;

  auto operator<=>(ServerWork const &) const = default;
};

/// What the requests for a service ask of its model servers.
struct ServiceWork {
  ServiceName Service_;
  std::uint64_t UnsharedPerSecond_ = 0; ///< Prompt tokens of new requests.
  /// Prompt tokens that an idle server reads in a second; 0: not known yet.
  std::uint64_t ReadPerSecond_ = 0;
  /// Mean prompt tokens that are left of the request that a server reads when
  /// another one arrives.
  std::uint64_t ResidualTokens_ = 0;

  auto operator<=>(ServiceWork const &) const = default;
};

/// The work that one entry instance has placed at model servers. Sent to the
/// collectors along with its ConsumptionReport, or to all instances of a small
/// fleet.
struct EngineWorkReport {
  std::vector<ServerWork> Servers_; ///< Only those with any work.
  std::vector<ServiceWork> Services_;

  auto operator<=>(EngineWorkReport const &) const = default;
};

/// The sum of the reports of all entry instances, made by a collector and
/// broadcast to every instance along the origin's tree.
struct EngineWorkSum {
  InstanceId Origin_;
  std::uint64_t Number_ = 0; ///< Increases with each sum of the origin.
  std::vector<ServerWork> Servers_;
  std::vector<ServiceWork> Services_;

  auto operator<=>(EngineWorkSum const &) const = default;
};

} // namespace laburnum
