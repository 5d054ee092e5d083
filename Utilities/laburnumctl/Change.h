#pragma once

#include "Report.h"
#include "Session.h"

#include <LibAdmin/OperatorActions.h>

#include <functional>
#include <optional>

namespace laburnum {

/// --change-id and --expected-version.
void addChangeOptions(cxxopts::Options &Options);

/// The object as it is now; nothing when there is none.
Result<std::optional<ObjectView>> lookUp(Session &Now, ObjectName const &Name);

using ChangeCall = std::function<Result<ChangeOutcome>(OperatorChange const &)>;

/// Sends a change that builds on Present. The change identifier is written to
/// the error stream first, so that it is known when the answer gets lost.
CommandOutcome sendChange(Session &Now, ObjectName const &Name,
                          std::optional<ObjectView> const &Present,
                          ChangeCall const &Send);

/// The kind's commands that need no knowledge of its fields.
CommandOutcome runList(Session &Now, ObjectKind Kind);
CommandOutcome runShow(Session &Now, ObjectName const &Name);
CommandOutcome runDelete(Session &Now, ObjectName const &Name);

} // namespace laburnum
