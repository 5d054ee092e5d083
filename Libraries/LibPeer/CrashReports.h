#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace laburnum {

/// What is known of an attempt whose connection broke. Ordered: of two reports
/// about one incident the later enumerator wins.
enum class CrashEvidence {
  BrokenOff,    ///< Not judged yet.
  ServerLost,   ///< The server's machine no longer answers.
  Crashed,      ///< The server's process is gone; other requests ran on it.
  CrashedAlone, ///< The same, and nothing else ran on it.
  Cleared,      ///< The content had no part in it.
};

/// That an attempt at this content broke off on a server.
struct CrashReport {
  /// Made by the instance that saw it, so that repeated reports count once.
  std::uint64_t Incident_ = 0;
  std::uint64_t Fingerprint_ = 0; ///< Of the request's content.
  ServerId Server_;
  CrashEvidence Evidence_ = CrashEvidence::BrokenOff;
  Duration Age_{}; ///< Since the break, when the report was made.

  auto operator<=>(CrashReport const &) const = default;
};

/// What the sender knows of requests that crash servers.
struct CrashReports {
  std::vector<CrashReport> Reports_;

  auto operator<=>(CrashReports const &) const = default;
};

} // namespace laburnum
