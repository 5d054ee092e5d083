#include <LibLog/LogValue.h>

#include <algorithm>
#include <cctype>

namespace laburnum {

namespace {

bool isPlain(std::string_view Value) {
  return !Value.empty() &&
         std::all_of(Value.begin(), Value.end(), [](unsigned char Character) {
           return std::isalnum(Character) ||
                  std::string_view("._:/-+,").find(
                      static_cast<char>(Character)) != std::string_view::npos;
         });
}

} // namespace

std::string logValue(std::string_view Value) {
  if (isPlain(Value))
    return std::string(Value);
  std::string Text = "\"";
  for (char const Character : Value) {
    if (Character == '"' || Character == '\\')
      Text += '\\';
    Text +=
        std::iscntrl(static_cast<unsigned char>(Character)) ? ' ' : Character;
  }
  return Text + '"';
}

} // namespace laburnum
