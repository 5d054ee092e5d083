#pragma once

#include "Report.h"
#include "Session.h"

#include <cxxopts.hpp>

#include <functional>
#include <string>
#include <vector>

namespace laburnum {

/// A command of the tool.
struct Command {
  std::string Noun_;
  std::string Verb_; ///< Empty for commands that are only a noun.
  std::string Summary_;
  std::vector<std::string> Examples_; ///< Without the program name.
  std::function<void(cxxopts::Options &)> AddOptions_;
  std::function<CommandOutcome(Session &)> Run_;
};

/// The words that select the command: "noun verb" or "noun".
std::string pathOf(Command const &Entry);

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

/// All commands, in the order in which the help lists them.
std::vector<Command> allCommands();

} // namespace laburnum
