#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>

#include <algorithm>
#include <cstdint>

namespace laburnum {

/// The pause before a call of the store that failed is made again: 1 s. Each
/// refusal doubles it, up to 16 s; a store that is away may be back at any
/// time.
class RetryPause {
public:
  bool isOver(TimePoint Now) const { return Now >= NotBefore_; }
  void onFailure(ErrorKind Why, TimePoint Now) {
    constexpr std::chrono::seconds Initial{1};
    constexpr std::uint32_t MaxDoublings = 4;
    if (Why == ErrorKind::Unavailable || Why == ErrorKind::OutcomeUnknown ||
        Why == ErrorKind::DeadlineExceeded) {
      NotBefore_ = Now + Initial;
      return;
    }
    NotBefore_ = Now + Initial * (1U << std::min(Refusals_, MaxDoublings));
    ++Refusals_;
  }
  void onSuccess() { *this = {}; }

  auto operator<=>(RetryPause const &) const = default;

private:
  std::uint32_t Refusals_ = 0;
  TimePoint NotBefore_ = TimePoint::min();
};

} // namespace laburnum
