#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace laburnum {

/// Checks the fields of one message and remembers the first that is wrong.
/// Its errors name the field and what is allowed, and never quote the value,
/// which may be a key.
class FieldChecker {
public:
  /// Message names the message in errors, as in "service.name".
  explicit FieldChecker(std::string Message) : Message_(std::move(Message)) {}

  /// A name: 1 to 128 letters, digits, '.', '_' or '-', so that it can stand
  /// in paths of the platform and of callers.
  std::string name(std::string const &Field, std::string const &Text);
  /// A name or nothing.
  std::string optionalName(std::string const &Field, std::string const &Text);
  std::string nonEmpty(std::string const &Field, std::string const &Text);
  double number(std::string const &Field, double Value, double Minimum,
                double Maximum);
  std::int64_t integer(std::string const &Field, std::int64_t Value,
                       std::int64_t Minimum, std::int64_t Maximum);
  /// The choice, or the type's first value when there is none.
  template <typename Choice>
  Choice choice(std::string const &Field, std::optional<Choice> Value,
                std::string const &Allowed) {
    if (!Value)
      fail(Field, Allowed);
    return Value.value_or(Choice());
  }

  void fail(std::string const &Field, std::string const &Allowed);

  /// The value, unless a field was wrong.
  template <typename Value> Result<Value> finish(Value Checked) const {
    if (Error_)
      return *Error_;
    return Checked;
  }

private:
  std::string Message_;
  std::optional<Error> Error_;
};

} // namespace laburnum
