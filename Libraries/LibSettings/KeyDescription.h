#pragma once

#include <LibSettings/DaemonSettings.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace laburnum {

enum class Sensitivity {
  Open,
  Secret, ///< The value is quoted nowhere.
};

/// All that is known of one key of the settings file. Parsing, checking and
/// docs/SETTINGS.md follow from it.
struct KeyDescription {
  std::string Section_;
  std::string Key_;
  std::string Allowed_;                ///< The type and range, for readers.
  std::optional<std::string> Default_; ///< None: the key is required.
  std::string Help_;
  Sensitivity Sensitivity_ = Sensitivity::Open;
  /// Stores a value; false when it isn't allowed.
  std::function<bool(DaemonSettings &, std::string const &)> Store_;
};

/// Every key, in the order of the page.
std::vector<KeyDescription> const &keyDescriptions();

/// The text of docs/SETTINGS.md.
std::string settingsPage();

} // namespace laburnum
