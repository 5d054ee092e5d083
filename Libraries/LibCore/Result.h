#pragma once

#include <LibCore/Error.h>

#include <utility>
#include <variant>

namespace laburnum {

/// Either a value or an error.
template <typename Value> using Result = std::variant<Value, Error>;

/// The value type of operations that return no value.
struct Success {
  auto operator<=>(Success const &) const = default;
};

template <typename Value> bool isError(Result<Value> const &Outcome) {
  return std::holds_alternative<Error>(Outcome);
}

/// Returns the error of a failed result. The caller must check isError() first.
template <typename Value> Error const &errorOf(Result<Value> const &Outcome) {
  return std::get<Error>(Outcome);
}

/// Returns the value of a successful result. The caller must check isError()
/// first.
template <typename Value> Value const &valueOf(Result<Value> const &Outcome) {
  return std::get<Value>(Outcome);
}

/// Moves the value out of a successful result. The caller must check isError()
/// first.
template <typename Value> Value takeValue(Result<Value> &&Outcome) {
  return std::get<Value>(std::move(Outcome));
}

} // namespace laburnum
