#pragma once

#include <LibModel/BackendServer.h>

namespace laburnum {

/// Whether an instance, of entry or backend, takes new work.
enum class Liveness {
  Live,
  Leaving, ///< Reclaimed or being stopped: finishes, takes nothing new.
  Gone,
};

/// An entry instance and where its three listeners are reached.
struct EntryInstance {
  InstanceId Id_;
  DataCentre DataCentre_;
  Endpoint Callers_;
  Endpoint Peers_;
  Endpoint Operators_;

  auto operator<=>(EntryInstance const &) const = default;
};

} // namespace laburnum
