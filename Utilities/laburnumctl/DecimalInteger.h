#pragma once

#include <LibSettings/ValueParsers.h>

#include <istream>
#include <limits>
#include <string>
#include <utility>

namespace laburnum {

/// An integer option value. Unlike the option library's integers, it accepts
/// decimal digits only.
template <typename Integer> struct DecimalInteger { Integer Value_ = 0; };

template <typename Integer>
std::istream &operator>>(std::istream &Stream,
                         DecimalInteger<Integer> &Number) {
  using Limits = std::numeric_limits<Integer>;
  constexpr auto ParserMaximum = std::numeric_limits<std::int64_t>::max();
  constexpr std::int64_t Maximum =
      std::cmp_greater(Limits::max(), ParserMaximum) ? ParserMaximum
                                                     : Limits::max();
  std::string Text;
  Stream >> Text;
  auto const Parsed = parseInteger(Text, Limits::min(), Maximum);
  if (!Parsed)
    Stream.setstate(std::ios::failbit);
  Number.Value_ = static_cast<Integer>(Parsed.value_or(0));
  return Stream;
}

} // namespace laburnum
