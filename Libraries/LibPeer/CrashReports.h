#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace laburnum {

/// Classification of a disconnect during an attempt. Ordered: of two reports
/// about the same incident the later enumerator takes precedence.
enum class CrashEvidence {
  BrokenOff,    ///< Not classified yet.
  ServerLost,   ///< The server's machine no longer answers.
  Crashed,      ///< The server process died while other requests ran on it.
  CrashedAlone, ///< The server process died while only this attempt ran on it.
  Cleared,      ///< The content did not cause it.
};

/// Reports that a server disconnected during an attempt with this content.
struct CrashReport {
  /// Identifier assigned by the reporting instance, so that repeated reports
  /// count once.
  std::uint64_t Incident_ = 0;
  std::uint64_t Fingerprint_ = 0; ///< Of the request's content.
  ServerId Server_;
  CrashEvidence Evidence_ = CrashEvidence::BrokenOff;
  Duration Age_{}; ///< Time since the disconnect when the report was made.

  auto operator<=>(CrashReport const &) const = default;
};

/// Reports known to the sender of contents that may crash servers.
struct CrashReports {
  std::vector<CrashReport> Reports_;

  auto operator<=>(CrashReports const &) const = default;
};

} // namespace laburnum
