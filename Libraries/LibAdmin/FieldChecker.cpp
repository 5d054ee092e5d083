#include <LibAdmin/FieldChecker.h>

#include <algorithm>
#include <cctype>
#include <sstream>

namespace laburnum {

namespace {

constexpr std::size_t MaxNameCharacters = 128;

bool isNameCharacter(char Character) {
  return std::isalnum(static_cast<unsigned char>(Character)) != 0 ||
         Character == '.' || Character == '_' || Character == '-';
}

bool isName(std::string const &Text) {
  return !Text.empty() && Text.size() <= MaxNameCharacters &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

template <typename Number> std::string rangeText(Number Lower, Number Upper) {
  std::ostringstream Text;
  Text << "a number from " << Lower << " to " << Upper;
  return Text.str();
}

} // namespace

std::string FieldChecker::name(std::string const &Field,
                               std::string const &Text) {
  if (!isName(Text))
    fail(Field, "1 to 128 letters, digits, '.', '_' or '-'");
  return Text;
}

std::string FieldChecker::optionalName(std::string const &Field,
                                       std::string const &Text) {
  return Text.empty() ? Text : name(Field, Text);
}

std::string FieldChecker::nonEmpty(std::string const &Field,
                                   std::string const &Text) {
  if (Text.empty())
    fail(Field, "a text that is not empty");
  return Text;
}

double FieldChecker::number(std::string const &Field, double Value,
                            double Minimum, double Maximum) {
  // The negated condition also rejects NaN.
  if (!(Value >= Minimum && Value <= Maximum))
    fail(Field, rangeText(Minimum, Maximum));
  return Value;
}

std::int64_t FieldChecker::integer(std::string const &Field, std::int64_t Value,
                                   std::int64_t Minimum, std::int64_t Maximum) {
  if (Value < Minimum || Value > Maximum)
    fail(Field, rangeText(Minimum, Maximum));
  return Value;
}

void FieldChecker::fail(std::string const &Field, std::string const &Allowed) {
  if (Error_)
    return;
  Error_ = Error{ErrorKind::InvalidArgument,
                 "field " + Message_ + "." + Field + " has a value not allowed",
                 "give " + Allowed};
}

} // namespace laburnum
