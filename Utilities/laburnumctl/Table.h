#pragma once

#include <string>
#include <vector>

namespace laburnum {

/// A text table whose columns are as wide as their widest cell.
class Table {
public:
  explicit Table(std::vector<std::string> Header) { add(std::move(Header)); }

  /// Adds a row with as many cells as the header.
  void add(std::vector<std::string> Row) { Rows_.push_back(std::move(Row)); }

  /// The header and the rows, one per line.
  std::string text() const;

private:
  std::vector<std::size_t> widths() const;

  std::vector<std::vector<std::string>> Rows_;
};

/// The number without trailing zeros, with up to six significant digits.
std::string numberText(double Number);

/// The names separated by commas, or "any" if there are none.
template <typename Name> std::string namesText(std::vector<Name> const &Names) {
  if (Names.empty())
    return "any";
  std::string Text;
  for (auto const &One : Names)
    Text += (Text.empty() ? "" : ",") + One.text();
  return Text;
}

} // namespace laburnum
