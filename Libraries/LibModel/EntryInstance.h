#pragma once

#include <LibModel/BackendServer.h>

namespace laburnum {

/// Whether an entry instance or a backend server accepts new work.
enum class Liveness {
  Live,
  Leaving, ///< Reclaimed or being stopped: completes its work, accepts no more.
  Gone,
};

/// An entry instance and the addresses of its three listeners.
struct EntryInstance {
  InstanceId Id_;
  DataCentre DataCentre_;
  Endpoint Callers_;
  Endpoint Peers_;
  Endpoint Operators_;

  auto operator<=>(EntryInstance const &) const = default;
};

} // namespace laburnum
