#pragma once

#include <string>
#include <vector>

namespace laburnum {

/// Rows of text in columns, each as wide as its widest cell.
class Table {
public:
  explicit Table(std::vector<std::string> Header) { add(std::move(Header)); }

  /// Adds a row with as many cells as the header.
  void add(std::vector<std::string> Row) { Rows_.push_back(std::move(Row)); }

  /// The header and the rows, one a line.
  std::string text() const;

private:
  std::vector<std::size_t> widths() const;

  std::vector<std::vector<std::string>> Rows_;
};

/// The number without needless digits.
std::string numberText(double Number);

/// Names separated by commas; "any" when there are none.
template <typename Name> std::string namesText(std::vector<Name> const &Names) {
  if (Names.empty())
    return "any";
  std::string Text;
  for (auto const &One : Names)
    Text += (Text.empty() ? "" : ",") + One.text();
  return Text;
}

} // namespace laburnum
