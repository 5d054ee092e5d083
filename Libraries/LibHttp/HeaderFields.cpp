#include <LibHttp/HeaderFields.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace laburnum {

namespace {

std::string_view trimmed(std::string_view Text) {
  auto const First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

std::vector<std::string_view> splitList(std::string_view List) {
  std::vector<std::string_view> Items;
  while (!List.empty()) {
    auto const Comma = List.find(',');
    auto const Item = trimmed(List.substr(0, Comma));
    if (!Item.empty())
      Items.push_back(Item);
    if (Comma == std::string_view::npos)
      break;
    List.remove_prefix(Comma + 1);
  }
  return Items;
}

} // namespace

bool isFieldValue(std::string_view Text) {
  return trimmed(Text).size() == Text.size() &&
         std::none_of(Text.begin(), Text.end(), [](unsigned char Character) {
           return std::iscntrl(Character) != 0;
         });
}

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char One, unsigned char Other) {
                      return std::tolower(One) == std::tolower(Other);
                    });
}

void HeaderFields::add(std::string Name, std::string Value) {
  Fields_.push_back({std::move(Name), std::move(Value)});
}

void HeaderFields::remove(std::string_view Name) {
  std::erase_if(Fields_, [&](HeaderField const &Field) {
    return equalsIgnoringCase(Field.Name_, Name);
  });
}

void HeaderFields::set(std::string Name, std::string Value) {
  remove(Name);
  add(std::move(Name), std::move(Value));
}

std::optional<std::string_view>
HeaderFields::find(std::string_view Name) const {
  for (auto const &Field : Fields_)
    if (equalsIgnoringCase(Field.Name_, Name))
      return Field.Value_;
  return std::nullopt;
}

std::string_view HeaderFields::valueOr(std::string_view Name,
                                       std::string_view Default) const {
  return find(Name).value_or(Default);
}

std::size_t HeaderFields::count(std::string_view Name) const {
  return static_cast<std::size_t>(std::count_if(
      Fields_.begin(), Fields_.end(), [&](HeaderField const &Field) {
        return equalsIgnoringCase(Field.Name_, Name);
      }));
}

bool HeaderFields::hasToken(std::string_view Name,
                            std::string_view Token) const {
  for (auto const &Field : Fields_) {
    if (!equalsIgnoringCase(Field.Name_, Name))
      continue;
    for (auto const Item : splitList(Field.Value_))
      if (equalsIgnoringCase(Item, Token))
        return true;
  }
  return false;
}

void HeaderFields::removeHopByHop() {
  static constexpr std::array<std::string_view, 9> HopByHop = {
      "Connection",
      "Keep-Alive",
      "Proxy-Connection",
      "TE",
      "Trailer",
      "Transfer-Encoding",
      "Upgrade",
      "Proxy-Authenticate",
      "Proxy-Authorization"};
  std::vector<std::string> ConnectionTokens;
  for (auto const &Field : Fields_)
    if (equalsIgnoringCase(Field.Name_, "Connection"))
      for (auto const Item : splitList(Field.Value_))
        ConnectionTokens.emplace_back(Item);
  for (auto const &Name : ConnectionTokens)
    remove(Name);
  for (auto const Name : HopByHop)
    remove(Name);
  remove("Content-Length");
  remove("Expect");
}

} // namespace laburnum
