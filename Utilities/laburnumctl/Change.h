#pragma once

#include "Report.h"
#include "Session.h"

#include <LibAdmin/OperatorActions.h>

#include <functional>
#include <optional>

namespace laburnum {

/// Adds --change-id and --expected-version.
void addChangeOptions(cxxopts::Options &Options);

/// The current state of the object; nullopt if it does not exist.
Result<std::optional<ObjectView>> findObject(Session &Context,
                                             ObjectName const &Name);

using ChangeCall = std::function<Result<ChangeOutcome>(OperatorChange const &)>;

/// Sends a change based on Current. Prints the change identifier to the error
/// stream first, so that it is known even if the answer is lost.
CommandOutcome sendChange(Session &Context, ObjectName const &Name,
                          std::optional<ObjectView> const &Current,
                          ChangeCall const &Send);

/// The commands that work alike for all object kinds.
CommandOutcome runList(Session &Context, ObjectKind Kind);
CommandOutcome runShow(Session &Context, ObjectName const &Name);
CommandOutcome runDelete(Session &Context, ObjectName const &Name);

} // namespace laburnum
