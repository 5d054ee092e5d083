#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace laburnum {

/// Validates the fields of a message and records the first invalid one. Errors
/// name the field and the allowed values but never quote the value, which may
/// be a key.
class FieldChecker {
public:
  /// Message is the prefix of field names in errors, as in "service.name".
  explicit FieldChecker(std::string Message) : Message_(std::move(Message)) {}

  /// Checks for a name of 1 to 128 letters, digits, '.', '_' or '-', which is
  /// safe in paths of the platform and of callers.
  std::string name(std::string const &Field, std::string const &Text);
  /// Checks for a name or an empty text.
  std::string optionalName(std::string const &Field, std::string const &Text);
  std::string nonEmpty(std::string const &Field, std::string const &Text);
  double number(std::string const &Field, double Value, double Minimum,
                double Maximum);
  std::int64_t integer(std::string const &Field, std::int64_t Value,
                       std::int64_t Minimum, std::int64_t Maximum);
  /// Returns the choice; without one, fails and returns the type's first value.
  template <typename Choice>
  Choice choice(std::string const &Field, std::optional<Choice> Value,
                std::string const &Allowed) {
    if (!Value)
      fail(Field, Allowed);
    return Value.value_or(Choice());
  }

  void fail(std::string const &Field, std::string const &Allowed);

  /// Returns the value, or the error of the first invalid field.
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
