#pragma once

#include <LibCore/Error.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laburnum {

/// Reads the keys of one JSON object, each at most once, and keeps the first
/// error. A key that remains unread is an error, so that misspelt keys are not
/// silently ignored.
class JsonReader {
public:
  /// What is the object's name in error messages.
  JsonReader(nlohmann::json const &Object, std::string What);

  std::string text(std::string const &Key);
  std::string textOr(std::string const &Key, std::string Default);
  double number(std::string const &Key, double Minimum, double Maximum);
  std::int64_t integer(std::string const &Key, std::int64_t Minimum,
                       std::int64_t Maximum);
  bool boolean(std::string const &Key);
  std::vector<std::string> texts(std::string const &Key);
  /// Returns nullptr and records an error when the key is absent or not an
  /// object.
  nlohmann::json const *object(std::string const &Key);
  /// Returns nullptr and records an error when the key is absent or not an
  /// array.
  nlohmann::json const *array(std::string const &Key);

  /// Records an error about Key, unless there is one already.
  void fail(std::string const &Key, std::string const &Expected);
  /// Takes the error of a nested object's reader, unless there is one already.
  void takeError(JsonReader &&Nested);
  /// Returns the first error, or an error about an unread key, if any.
  std::optional<Error> finish();

private:
  nlohmann::json const *find(std::string const &Key);

  nlohmann::json const &Object_;
  std::string What_;
  std::set<std::string> Read_;
  std::optional<Error> Error_;
};

} // namespace laburnum
