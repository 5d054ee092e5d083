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

enum class Reach {
  All,  ///< Every difference is in force from now on.
  Part, ///< Addresses, names or windows differ: in force at the next start.
};

struct Changed {
  EntrySettings Settings_;
  Reach Reach_ = Reach::All;

  auto operator<=>(Changed const &) const = default;
};

/// The settings before stay in force. Told once for each different reason.
struct Unreadable {
  Error Reason_;
};

using Look = std::variant<Unchanged, Changed, Unreadable>;

} // namespace settings

/// Notices that the settings differ from those in force.
class SettingsWatch {
public:
  using Read = std::function<Result<EntrySettings>()>;

  SettingsWatch(EntrySettings InForce, Read Read)
      : InForce_(std::move(InForce)), Read_(std::move(Read)) {}

  /// Reads them anew.
  settings::Look look();
  EntrySettings const &inForce() const { return InForce_; }

private:
  EntrySettings InForce_;
  /// Of the last reading, with what needs a new start.
  EntrySettings Told_ = InForce_;
  Read Read_;
  std::string LastProblem_;
};

} // namespace laburnum
