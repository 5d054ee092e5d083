#pragma once

#include <LibSettings/EntrySettings.h>

#include <compare>
#include <cstddef>

namespace laburnum {

/// Limits on what answers take of a process's memory together.
struct AnswerLimits {
  /// Bytes of unfinished answers that are kept at a time. Beyond it large
  /// answers are given up.
  std::size_t BufferedBytes_ = std::size_t{32} << 20;
  /// Unwritten bytes of all clients. Beyond it those are aborted that have not
  /// read for the longest time.
  std::size_t UnwrittenBytes_ = std::size_t{32} << 20;

  auto operator<=>(AnswerLimits const &) const = default;
};

/// Returns the limits for the machine that the settings describe.
AnswerLimits answerLimits(EntrySettings const &Settings);

} // namespace laburnum
