#include <LibCallers/CallerMessage.h>

#include <algorithm>
#include <cctype>

namespace laburnum {

static bool equalsIgnoringCase(std::string const &Left,
                               std::string const &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char A, unsigned char B) {
                      return std::tolower(A) == std::tolower(B);
                    });
}

std::optional<std::string> CallerMessage::field(std::string const &Name) const {
  for (auto const &Field : Fields_) {
    if (equalsIgnoringCase(Field.Name_, Name))
      return Field.Value_;
  }
  return std::nullopt;
}

} // namespace laburnum
