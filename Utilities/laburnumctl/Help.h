#pragma once

#include "Command.h"

#include <string>
#include <vector>

namespace laburnum {

/// The help of the whole program, or of one noun's commands when it is given.
std::string programHelp(std::vector<Command> const &Commands,
                        std::string const &Noun);

/// The help of one command.
std::string commandHelp(Command const &One, cxxopts::Options const &Options);

} // namespace laburnum
