#pragma once

#include "Command.h"

#include <LibModel/ConfigurationObject.h>

namespace laburnum {

/// The names that an object kind's commands use.
struct KindNames {
  ObjectKind Kind_ = ObjectKind::Service;
  std::string Noun_;
  std::string NameOption_; ///< "name" or "id".
  std::string Example_;    ///< An object name for examples.
};

/// The kind's `list`, `show` and `delete` commands.
std::vector<Command> commonCommands(KindNames const &Names);

/// Runs Action with the object's name. Fails with InvalidArgument if the option
/// that names the object is missing.
CommandOutcome
runWithName(Session &Context, KindNames const &Names,
            std::function<CommandOutcome(ObjectName const &)> Action);

} // namespace laburnum
