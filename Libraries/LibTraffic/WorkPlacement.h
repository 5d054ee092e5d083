#pragma once

#include <LibCore/Time.h>
#include <LibTraffic/EngineBacklog.h>
#include <LibTraffic/RequestWork.h>

#include <compare>
#include <cstddef>
#include <random>
#include <vector>

namespace laburnum {

/// A model server that can take a request.
struct PlacementCandidate {
  EngineBacklog::Load Load_;
  /// How much longer its work takes at this moment than usual, as a factor.
  double Slowdown_ = 1.0;
  Duration Distance_{}; ///< Added to the time to the first event.

  auto operator<=>(PlacementCandidate const &) const = default;
};

/// What is known of the model servers of a service.
struct EngineEstimate {
  double TokensPerSecond_ = 0.0;   ///< That a server reads.
  std::uint64_t MemoryTokens_ = 0; ///< Of a server; 0: not known.

  auto operator<=>(EngineEstimate const &) const = default;
};

/// Where a request is placed, and what follows from it.
struct Placement {
  std::size_t Candidate_ = 0; ///< Index of the chosen one.
  Duration FirstEvent_{};     ///< Predicted time until its first event.

  auto operator<=>(Placement const &) const = default;
};

/// Chooses the server that is predicted to answer first, by the prompt tokens
/// that it has to read before the request and for it.
///
/// Reported work is up to a second old, and all instances use the same reports:
/// if each chose the best of all servers, they would all choose the same one.
/// So each compares only a few. Candidates are in the rendezvous order of the
/// request's shared parts, which the first two are likely to keep; two others
/// are drawn at random. The first is compared only as often as it can serve the
/// requests that prefer it, so that parts in high demand spread before work
/// queues up for them.
///
/// Candidates must not be empty. Without shared parts their order does not
/// matter.
Placement placeByWork(std::vector<PlacementCandidate> const &Candidates,
                      RequestWork const &Work, EngineEstimate const &Engine,
                      std::mt19937_64 &Generator);

} // namespace laburnum
