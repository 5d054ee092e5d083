#pragma once

#include <LibModel/Endpoint.h>

#include <csignal>
#include <vector>

namespace laburnum {

enum class PortWait { Free, Stopped };

/// Waits until no process listens on the endpoints, for example the previous
/// process of this instance. Any other reason that prevents listening ends the
/// wait, as does one of the signals, which have to be blocked.
PortWait awaitFreePorts(std::vector<Endpoint> const &Endpoints,
                        sigset_t const &StopSignals);

} // namespace laburnum
