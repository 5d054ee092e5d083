#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace laburnum {

enum class LoadMode {
  Arrivals, ///< Open loop: starts do not depend on pending calls.
  Streams,  ///< All streams start at once.
};

struct LoadSettings {
  std::string Target_; ///< In the form http://HOST:PORT.
  std::string Key_;
  LoadMode Mode_ = LoadMode::Arrivals;
  double RatePerSecond_ = 10;
  double Seconds_ = 10;
  std::uint32_t Streams_ = 16;
  std::uint64_t Seed_ = 1;
  std::uint32_t Threads_ = 256; ///< Maximum number of concurrent calls.
  std::string Service_;         ///< For plain calls; empty: makes none.
  std::string Path_ = "/";
  std::string Model_; ///< For completions; empty: makes none.
  double LongShare_ = 0.1;
  std::uint32_t ShortTokens_ = 16;
  std::uint32_t LongTokens_ = 256;
  Duration Timeout_ = std::chrono::seconds(60);

  auto operator<=>(LoadSettings const &) const = default;
};

enum class LoadKind { Plain, Short, Long };

struct PlannedCall {
  Duration Start_{}; ///< Offset from the start of the run.
  LoadKind Kind_ = LoadKind::Plain;
  std::uint32_t Number_ = 0;

  auto operator<=>(PlannedCall const &) const = default;
};

/// The calls of a run, ordered by start. The same settings give the same plan.
std::vector<PlannedCall> planCalls(LoadSettings const &Settings);

} // namespace laburnum
