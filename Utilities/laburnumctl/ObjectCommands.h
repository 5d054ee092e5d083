#pragma once

#include "Command.h"

#include <LibModel/ConfigurationObject.h>

namespace laburnum {

/// The words that a kind's commands differ in.
struct KindWords {
  ObjectKind Kind_ = ObjectKind::Service;
  std::string Noun_;
  std::string NameOption_; ///< "name" or "id".
  std::string Example_;    ///< A name for examples.
};

/// `list`, `show` and `delete`.
std::vector<Command> commonCommands(KindWords const &Words);

/// Fails unless the option that names the object is given.
CommandOutcome withName(Session &Now, KindWords const &Words,
                        std::function<CommandOutcome(ObjectName const &)> Do);

} // namespace laburnum
