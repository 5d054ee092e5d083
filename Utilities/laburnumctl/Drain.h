#pragma once

#include "Report.h"
#include "Session.h"

namespace laburnum {

/// --within-ms.
void addDrainOptions(cxxopts::Options &Options);

/// Drains the server, or the asked entry instance when it is empty.
CommandOutcome runDrain(Session &Now, ServerId const &Server);

} // namespace laburnum
