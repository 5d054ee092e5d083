#pragma once

#include "Command.h"

#include <string>
#include <vector>

namespace laburnum {

/// The help of the program, or of one noun's commands if Noun is not empty.
std::string programHelp(std::vector<Command> const &Commands,
                        std::string const &Noun);

/// The help of one command.
std::string commandHelp(Command const &Entry, cxxopts::Options const &Options);

} // namespace laburnum
