#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace laburnum {

enum class RateLimitState {
  InForce,
  Lifted, ///< The server's answers no longer state a limit.
};

/// The request rate that an incarnation of a backend server accepts from all
/// entry instances together, as last stated in one of its answers.
struct ServerRateLimit {
  ServerId Incarnation_;
  RateLimitState State_ = RateLimitState::InForce;
  std::uint64_t MicroRequestsPerSecond_ = 0;
  Duration Age_{}; ///< Since the answer arrived, when sent.

  auto operator<=>(ServerRateLimit const &) const = default;
};

/// Sent to all instances when a server changes its limit. Every few seconds an
/// instance also sends all limits that it knows to one other instance, as
/// messages can be lost.
struct ServerRateLimits {
  std::vector<ServerRateLimit> Limits_;

  auto operator<=>(ServerRateLimits const &) const = default;
};

} // namespace laburnum
