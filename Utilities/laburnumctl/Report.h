#pragma once

#include <LibCore/Error.h>
#include <LibModel/ConfigurationObject.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <variant>

namespace laburnum {

/// What a finished command has to show: the same for people and for programs.
struct Report {
  std::string Text_;
  nlohmann::json Json_;
  int ExitCode_ = 0;
};

struct CommandFailure {
  Error Error_;
  std::optional<Version> PresentVersion_; ///< Of a version conflict.
};

using CommandOutcome = std::variant<Report, CommandFailure>;

/// The process's exit code for a kind of error; 0 means success.
int exitCodeOf(ErrorKind Kind);

/// The exit code of `status` when something needs attention.
inline constexpr int AttentionExitCode = 20;

/// The failure as one JSON object.
nlohmann::json toJson(CommandFailure const &Failure);

/// The table of exit codes for the help.
std::string exitCodeHelp();

} // namespace laburnum
