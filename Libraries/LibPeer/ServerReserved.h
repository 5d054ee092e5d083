#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>

namespace laburnum {

enum class ReservationState {
  Requested, ///< Asks the receiver to send no new attempts to the server.
  Agreed,    ///< Answer: no attempt of the sender runs there any more.
  Busy,      ///< Answer: the receiver has to wait and ask again.
  Released,  ///< The reservation ended.
};

/// Reserves a backend server for one attempt with a content that is suspected
/// of crashing servers. Repeated while the reservation is in force.
struct ServerReserved {
  ServerId Server_;
  std::uint64_t Fingerprint_ = 0;
  InstanceId Owner_;
  ReservationState State_ = ReservationState::Requested;
  Duration Remaining_{}; ///< Expires after this time unless repeated.

  auto operator<=>(ServerReserved const &) const = default;
};

} // namespace laburnum
