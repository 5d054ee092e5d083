#include <LibModel/JsonReader.h>

namespace laburnum {

JsonReader::JsonReader(nlohmann::json const &Object, std::string What)
    : Object_(Object), What_(std::move(What)) {
  if (!Object_.is_object())
    Error_ = Error{ErrorKind::InvalidArgument, What_ + " is not a JSON object",
                   "send an object in braces"};
}

nlohmann::json const *JsonReader::find(std::string const &Key) {
  Read_.insert(Key);
  if (!Object_.is_object())
    return nullptr;
  auto const Found = Object_.find(Key);
  return Found == Object_.end() ? nullptr : &*Found;
}

void JsonReader::fail(std::string const &Key, std::string const &Expected) {
  if (Error_)
    return;
  Error_ = Error{ErrorKind::InvalidArgument,
                 "key \"" + Key + "\" of " + What_ + " is missing or wrong",
                 "give it as " + Expected};
}

std::string JsonReader::text(std::string const &Key) {
  auto const *Found = find(Key);
  if (Found && Found->is_string())
    return Found->get<std::string>();
  fail(Key, "a string");
  return {};
}

std::string JsonReader::textOr(std::string const &Key, std::string Default) {
  auto const *Found = find(Key);
  if (!Found)
    return Default;
  if (Found->is_string())
    return Found->get<std::string>();
  fail(Key, "a string, or leave it out");
  return Default;
}

double JsonReader::number(std::string const &Key, double Minimum,
                          double Maximum) {
  auto const *Found = find(Key);
  if (Found && Found->is_number()) {
    auto const Value = Found->get<double>();
    if (Value >= Minimum && Value <= Maximum)
      return Value;
  }
  fail(Key, "a number from " + std::to_string(Minimum) + " to " +
                std::to_string(Maximum));
  return Minimum;
}

std::int64_t JsonReader::integer(std::string const &Key, std::int64_t Minimum,
                                 std::int64_t Maximum) {
  auto const *Found = find(Key);
  if (Found && Found->is_number_integer()) {
    auto const Value = Found->get<std::int64_t>();
    if (Value >= Minimum && Value <= Maximum)
      return Value;
  }
  fail(Key, "a whole number from " + std::to_string(Minimum) + " to " +
                std::to_string(Maximum));
  return Minimum;
}

bool JsonReader::boolean(std::string const &Key) {
  auto const *Found = find(Key);
  if (Found && Found->is_boolean())
    return Found->get<bool>();
  fail(Key, "true or false");
  return false;
}

std::vector<std::string> JsonReader::texts(std::string const &Key) {
  std::vector<std::string> Values;
  auto const *Found = array(Key);
  if (!Found)
    return Values;
  for (auto const &Item : *Found) {
    if (!Item.is_string()) {
      fail(Key, "an array of strings");
      return Values;
    }
    Values.push_back(Item.get<std::string>());
  }
  return Values;
}

nlohmann::json const *JsonReader::object(std::string const &Key) {
  auto const *Found = find(Key);
  if (Found && Found->is_object())
    return Found;
  fail(Key, "an object");
  return nullptr;
}

nlohmann::json const *JsonReader::array(std::string const &Key) {
  auto const *Found = find(Key);
  if (Found && Found->is_array())
    return Found;
  fail(Key, "an array");
  return nullptr;
}

void JsonReader::takeError(JsonReader &&Nested) {
  auto NestedError = Nested.finish();
  if (NestedError && !Error_)
    Error_ = std::move(NestedError);
}

std::optional<Error> JsonReader::finish() {
  if (Error_ || !Object_.is_object())
    return Error_;
  for (auto const &[Key, Value] : Object_.items()) {
    if (!Read_.contains(Key))
      return Error{ErrorKind::InvalidArgument,
                   "key \"" + Key + "\" of " + What_ + " is not known",
                   "correct its spelling or leave it out"};
  }
  return std::nullopt;
}

} // namespace laburnum
