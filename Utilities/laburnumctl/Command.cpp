#include "Command.h"

namespace laburnum {

std::string pathOf(Command const &Entry) {
  return Entry.Verb_.empty() ? Entry.Noun_ : Entry.Noun_ + " " + Entry.Verb_;
}

std::vector<Command> allCommands() {
  std::vector<Command> All;
  for (auto const &Module :
       {statusCommands(), serviceCommands(), accountCommands(),
        backendCommands(), instanceCommands(), configCommands(),
        auditCommands(), reclaimCommands(), metricsCommands()})
    All.insert(All.end(), Module.begin(), Module.end());
  return All;
}

} // namespace laburnum
