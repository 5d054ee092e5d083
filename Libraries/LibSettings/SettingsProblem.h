#pragma once

#include <compare>
#include <cstddef>
#include <string>

namespace laburnum {

/// A problem in a settings file. Values of secret keys are never included.
struct SettingsProblem {
  std::string File_;
  std::size_t Line_ = 0; ///< From 1; 0 when there is no such line.
  std::string Section_;
  std::string Key_;     ///< Empty when the problem concerns the whole section.
  std::string What_;    ///< What is wrong.
  std::string Allowed_; ///< Which values are allowed.
  std::string Remedy_;  ///< How to correct it.

  auto operator<=>(SettingsProblem const &) const = default;
};

/// Returns "file:line: [section] key: what; allowed: ...; remedy" on one line.
std::string toString(SettingsProblem const &Problem);

} // namespace laburnum
