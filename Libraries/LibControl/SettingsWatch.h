#pragma once

#include <LibCore/Result.h>
#include <LibSettings/EntrySettings.h>

#include <functional>
#include <string>
#include <variant>

namespace laburnum {

namespace settings {

struct Unchanged {
  auto operator<=>(Unchanged const &) const = default;
};

enum class ChangeScope {
  All,     ///< All changes are in force now.
  Partial, ///< Changed addresses, names and windows apply after a restart.
};

struct Changed {
  EntrySettings Settings_;
  ChangeScope Scope_ = ChangeScope::All;

  auto operator<=>(Changed const &) const = default;
};

/// The previous settings stay in force. Reported once for each distinct error.
struct Unreadable {
  Error Reason_;
};

using PollResult = std::variant<Unchanged, Changed, Unreadable>;

} // namespace settings

/// Detects changes of the settings and applies those that need no restart.
class SettingsWatch {
public:
  using Read = std::function<Result<EntrySettings>()>;

  SettingsWatch(EntrySettings InForce, Read Read)
      : InForce_(std::move(InForce)), Read_(std::move(Read)) {}

  /// Reads the settings again and compares them with the last ones read.
  settings::PollResult poll();
  EntrySettings const &inForce() const { return InForce_; }

private:
  EntrySettings InForce_;
  /// The last settings read, including changes that need a restart.
  EntrySettings LastRead_ = InForce_;
  Read Read_;
  std::string LastError_;
};

} // namespace laburnum
