#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum {

struct HeaderField {
  std::string Name_;
  std::string Value_;

  auto operator<=>(HeaderField const &) const = default;
};

/// True when the texts differ in ASCII case at most.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);

/// The fields of a message's head in the order in which they came. Names are
/// compared without regard to case (RFC 9110, section 5.1).
class HeaderFields {
public:
  void add(std::string Name, std::string Value);
  void remove(std::string_view Name);
  /// Replaces every field of this name by one.
  void set(std::string Name, std::string Value);

  /// The value of the first field of this name.
  std::optional<std::string_view> find(std::string_view Name) const;
  /// The first field's value, empty when there is none.
  std::string_view valueOr(std::string_view Name,
                           std::string_view Default = {}) const;
  /// How many fields have this name.
  std::size_t count(std::string_view Name) const;
  /// Whether a comma-separated list field holds the token.
  bool hasToken(std::string_view Name, std::string_view Token) const;

  /// Removes the fields that concern one connection only (RFC 9110, section
  /// 7.6.1), also those that Connection names, and the body's framing.
  void removeHopByHop();

  std::vector<HeaderField> const &all() const { return Fields_; }

  auto operator<=>(HeaderFields const &) const = default;

private:
  std::vector<HeaderField> Fields_;
};

} // namespace laburnum
