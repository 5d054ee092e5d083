#include "Command.h"

namespace laburnum {

std::string pathOf(Command const &One) {
  return One.Verb_.empty() ? One.Noun_ : One.Noun_ + " " + One.Verb_;
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
