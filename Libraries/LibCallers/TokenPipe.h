#pragma once

#include <LibBackend/BackendClient.h>
#include <LibServing/FailureAnswer.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace laburnum {

/// One token on its way to the caller.
struct TokenOut {
  std::uint32_t Offset_ = 0;
  std::string Text_;

  auto operator<=>(TokenOut const &) const = default;
};

/// The stream ended whole.
struct StreamWhole {
  auto operator<=>(StreamWhole const &) const = default;
};

using StreamItem = std::variant<TokenOut, StreamWhole, FailureAnswer>;

/// Carries a stream from the thread that runs its request to the thread that
/// writes to the caller. Bounded: a caller that reads slowly holds its own
/// engine stream back, not this process's memory.
class TokenPipe {
public:
  explicit TokenPipe(std::size_t MostItems) : MostItems_(MostItems) {}

  /// Waits while the pipe is full. No: the reader has gone.
  Continue push(StreamItem Item);
  /// Waits for the next item.
  StreamItem pop();
  /// The reader will not read again.
  void abandon();

private:
  std::size_t const MostItems_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::deque<StreamItem> Items_;
  bool Abandoned_ = false;
};

} // namespace laburnum
