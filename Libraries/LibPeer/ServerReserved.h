#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>

namespace laburnum {

enum class ReservationState {
  Wanted, ///< Asks the receiver to send the server nothing new.
  Agreed, ///< Answers that nothing of the sender's runs there any more.
  Busy,   ///< Answers that the receiver has to wait, and to ask again.
  Over,   ///< The server is free again.
};

/// A backend server is reserved for one attempt at a content that is suspected
/// of crashing servers. Repeated while it is in force.
struct ServerReserved {
  ServerId Server_;
  std::uint64_t Fingerprint_ = 0;
  InstanceId Owner_;
  ReservationState State_ = ReservationState::Wanted;
  Duration Remaining_{}; ///< Unless it is repeated, it lapses after this.

  auto operator<=>(ServerReserved const &) const = default;
};

} // namespace laburnum
