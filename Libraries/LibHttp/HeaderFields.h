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

/// Whether a field can have that value: it holds no control characters, which
/// could end the field, and no white space that the receiver would remove.
bool isFieldValue(std::string_view Text);

/// Compares two texts without regard to ASCII case.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);

/// The header fields of a message in the order received. Names are compared
/// without regard to case (RFC 9110, section 5.1).
class HeaderFields {
public:
  void add(std::string Name, std::string Value);
  void remove(std::string_view Name);
  /// Replaces all fields of this name by one.
  void set(std::string Name, std::string Value);

  /// The value of the first field of this name.
  std::optional<std::string_view> find(std::string_view Name) const;
  /// The value of the first field of this name, or Default if there is none.
  std::string_view valueOr(std::string_view Name,
                           std::string_view Default = {}) const;
  /// The number of fields of this name.
  std::size_t count(std::string_view Name) const;
  /// Whether a comma-separated list field contains the token.
  bool hasToken(std::string_view Name, std::string_view Token) const;

  /// Removes the hop-by-hop fields (RFC 9110, section 7.6.1), including those
  /// listed in Connection, and the fields that frame the body.
  void removeHopByHop();

  std::vector<HeaderField> const &all() const { return Fields_; }

  auto operator<=>(HeaderFields const &) const = default;

private:
  std::vector<HeaderField> Fields_;
};

} // namespace laburnum
