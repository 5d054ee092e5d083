#include "Table.h"

#include <algorithm>
#include <sstream>

namespace laburnum {

namespace {

constexpr std::size_t Gap = 2;

std::string rowText(std::vector<std::string> const &Row,
                    std::vector<std::size_t> const &Widths) {
  std::string Text;
  for (std::size_t Column = 0; Column < Row.size(); ++Column) {
    Text += Row[Column];
    if (Column + 1 < Row.size())
      Text.append(Widths[Column] - Row[Column].size() + Gap, ' ');
  }
  return Text + "\n";
}

} // namespace

std::string Table::text() const {
  auto const Widths = widths();
  std::string Text;
  for (auto const &Row : Rows_)
    Text += rowText(Row, Widths);
  return Text;
}

std::vector<std::size_t> Table::widths() const {
  std::vector<std::size_t> Widths(Rows_.front().size(), 0);
  for (auto const &Row : Rows_)
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  return Widths;
}

std::string numberText(double Number) {
  std::ostringstream Text;
  Text << Number;
  return Text.str();
}

} // namespace laburnum
