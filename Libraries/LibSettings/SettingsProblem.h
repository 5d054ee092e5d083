#pragma once

#include <compare>
#include <cstddef>
#include <string>

namespace laburnum {

/// One thing that is wrong in a settings file. Values of keys that hold
/// secrets are never quoted.
struct SettingsProblem {
  std::string File_;
  std::size_t Line_ = 0; ///< From 1; 0 when the file lacks the line.
  std::string Section_;
  std::string Key_;     ///< Empty when the whole section is meant.
  std::string What_;    ///< What is wrong.
  std::string Allowed_; ///< Which values are allowed.
  std::string Remedy_;  ///< What to change.

  auto operator<=>(SettingsProblem const &) const = default;
};

/// "file:line: [section] key: what; allowed: ...; remedy", on one line.
std::string toString(SettingsProblem const &Problem);

} // namespace laburnum
