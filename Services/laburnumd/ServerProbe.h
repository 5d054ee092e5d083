#pragma once

#include <LibCore/Time.h>
#include <LibGuard/DisconnectClassifier.h>
#include <LibModel/BackendServer.h>

#include <vector>

namespace laburnum {

/// Opens a connection to each endpoint and closes it again. Blocks until all
/// have answered, at most for Timeout. Answers are in the order of Targets.
std::vector<ProbeAnswer> probeServers(std::vector<Endpoint> const &Targets,
                                      Duration Timeout);

} // namespace laburnum
