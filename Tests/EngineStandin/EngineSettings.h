#pragma once

#include <LibCore/Time.h>
#include <LibModel/BackendServer.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace laburnum {

struct EngineSettings {
  Duration TokenInterval_ = std::chrono::milliseconds(5);
  std::size_t Slots_ = 16; ///< Maximum number of running requests.
  std::size_t PrefixCacheTokens_ = 65536;
  std::size_t KvTokens_ = 131072; ///< KV memory for all running requests.
  std::uint32_t PrefillTokensPerSecond_ = 10000;
  Duration LoadLag_{};
  FencingCheck Fencing_ = FencingCheck::Ignored;
  std::string CrashMarker_; ///< Text of crashing prompts; empty: none crash.
  std::uint32_t CrashAfterTokens_ = 0;
  std::size_t RetainedEvents_ = 1024;
  std::uint64_t DroppedEventInterval_ =
      0; ///< Each Nth cache event; 0 loses none.

  auto operator<=>(EngineSettings const &) const = default;
};

} // namespace laburnum
