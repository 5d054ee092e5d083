#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <string>

namespace laburnum {

/// How long the answer to a long poll may take beyond the requested wait.
constexpr Duration AnswerAllowance = std::chrono::seconds(2);

/// The query string of a long poll, without the question mark.
inline std::string longPollQuery(std::uint64_t From, Duration Wait) {
  auto const Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count();
  return "from=" + std::to_string(From) +
         "&wait_ms=" + std::to_string(Milliseconds);
}

} // namespace laburnum
