#pragma once

#include "Report.h"
#include "Session.h"

namespace laburnum {

/// Adds --within-ms.
void addDrainOptions(cxxopts::Options &Options);

/// Drains the backend server, or the contacted entry instance if Server is
/// empty.
CommandOutcome runDrain(Session &Context, ServerId const &Server);

} // namespace laburnum
