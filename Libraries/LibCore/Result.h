#pragma once

#include <LibCore/Error.h>

#include <utility>
#include <variant>

namespace laburnum {

/// Either the value or the reason why there is none.
template <typename Value> using Result = std::variant<Value, Error>;

/// The value of an operation that yields nothing but its success.
struct Success {
  auto operator<=>(Success const &) const = default;
};

template <typename Value> bool isError(Result<Value> const &Outcome) {
  return std::holds_alternative<Error>(Outcome);
}

/// The error of a failed result. The caller has checked isError().
template <typename Value> Error const &errorOf(Result<Value> const &Outcome) {
  return std::get<Error>(Outcome);
}

/// The value of a successful result. The caller has checked isError().
template <typename Value> Value const &valueOf(Result<Value> const &Outcome) {
  return std::get<Value>(Outcome);
}

/// Moves the value out of a successful result.
template <typename Value> Value takeValue(Result<Value> &&Outcome) {
  return std::get<Value>(std::move(Outcome));
}

} // namespace laburnum
