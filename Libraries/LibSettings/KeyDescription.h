#pragma once

#include <LibSettings/DaemonSettings.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace laburnum {

enum class Sensitivity {
  Open,
  Secret, ///< The value is never shown.
};

/// The description of one key of the settings file. Parsing, validation and
/// docs/SETTINGS.md are derived from it.
struct KeyDescription {
  std::string Section_;
  std::string Key_;
  std::string Allowed_;                ///< Type and range, for people.
  std::optional<std::string> Default_; ///< If empty, the key is required.
  std::string Help_;
  Sensitivity Sensitivity_ = Sensitivity::Open;
  /// Parses and stores a value; returns false when it is not allowed.
  std::function<bool(DaemonSettings &, std::string const &)> Store_;
};

/// Returns all keys, in the order of docs/SETTINGS.md.
std::vector<KeyDescription> const &keyDescriptions();

/// Returns the text of docs/SETTINGS.md.
std::string settingsPage();

} // namespace laburnum
