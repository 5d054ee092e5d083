#pragma once

#include "Report.h"
#include "Session.h"

#include <cxxopts.hpp>

#include <functional>
#include <string>
#include <vector>

namespace laburnum {

/// One thing that the tool can do.
struct Command {
  std::string Noun_;
  std::string Verb_; ///< Empty when the noun says it all.
  std::string Summary_;
  std::vector<std::string> Examples_; ///< Without the program's name.
  std::function<void(cxxopts::Options &)> AddOptions_;
  std::function<CommandOutcome(Session &)> Run_;
};

/// "noun verb", or "noun".
std::string pathOf(Command const &One);

/// The commands of each module.
std::vector<Command> serviceCommands();
std::vector<Command> accountCommands();
std::vector<Command> backendCommands();
std::vector<Command> instanceCommands();
std::vector<Command> configCommands();
std::vector<Command> auditCommands();
std::vector<Command> metricsCommands();
std::vector<Command> statusCommands();
std::vector<Command> reclaimCommands();

/// Every command, in the order of the help.
std::vector<Command> allCommands();

} // namespace laburnum
