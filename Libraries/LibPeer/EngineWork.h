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

/// What the requests for a service ask of its model servers, and sums over the
/// latest answers: older ones count less and less. All figures of several
/// instances are added.
struct ServiceWork {
  ServiceName Service_;
  std::uint64_t UnsharedPerSecond_ = 0; ///< Prompt tokens of new requests.
  /// Of these, those whose first event is due soonest.
  std::uint64_t UrgentPerSecond_ = 0;
  std::uint64_t Answers_ = 0;
  std::uint64_t Tokens_ = 0; ///< Prompt tokens that are not shared.
  std::uint64_t SquaredTokens_ = 0;
  std::uint64_t Milliseconds_ = 0; ///< From sending to the first event.
  std::uint64_t TokenMilliseconds_ = 0;

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
