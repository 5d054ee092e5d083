#pragma once

#include <LibCore/Error.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laburnum {

/// Reads the keys of one JSON object, each at most once, and remembers the
/// first thing that was wrong. A key that is left unread is an error, so that
/// a misspelt key is not silently ignored.
class JsonReader {
public:
  /// What names the object in error messages.
  JsonReader(nlohmann::json const &Object, std::string What);

  std::string text(std::string const &Key);
  std::string textOr(std::string const &Key, std::string Default);
  double number(std::string const &Key, double Minimum, double Maximum);
  std::int64_t integer(std::string const &Key, std::int64_t Minimum,
                       std::int64_t Maximum);
  bool boolean(std::string const &Key);
  std::vector<std::string> texts(std::string const &Key);
  /// nullptr when the key is absent or not an object; an error either way.
  nlohmann::json const *object(std::string const &Key);
  /// nullptr when the key is absent or not an array; an error either way.
  nlohmann::json const *array(std::string const &Key);

  void fail(std::string const &Key, std::string const &Expected);
  /// Takes over the error of a nested object's reader.
  void absorb(JsonReader &&Nested);
  /// The first error, or one that names an unread key, if there is any.
  std::optional<Error> finish();

private:
  nlohmann::json const *find(std::string const &Key);

  nlohmann::json const &Object_;
  std::string What_;
  std::set<std::string> Read_;
  std::optional<Error> Error_;
};

} // namespace laburnum
