#pragma once

#include <LibCore/Error.h>
#include <LibModel/ConfigurationObject.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <variant>

namespace laburnum {

/// The output of a finished command, as text and as JSON.
struct Report {
  std::string Text_;
  nlohmann::json Json_;
  int ExitCode_ = 0;
};

struct CommandFailure {
  Error Error_;
  std::optional<Version> CurrentVersion_; ///< Set for version conflicts.
};

using CommandOutcome = std::variant<Report, CommandFailure>;

/// The process exit code for a kind of error. Never 0.
int exitCodeOf(ErrorKind Kind);

/// The exit code of `status` if it reports findings.
inline constexpr int AttentionExitCode = 20;

/// The failure as a JSON object.
nlohmann::json toJson(CommandFailure const &Failure);

/// The help's table of exit codes.
std::string exitCodeHelp();

} // namespace laburnum
