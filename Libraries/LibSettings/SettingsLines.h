#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace laburnum {

/// Finds where sections and keys stand in the text of an INI file, since the
/// INI library does not tell.
class SettingsLines {
public:
  explicit SettingsLines(std::string const &Text);

  /// The line of the section's header, from 1; 0 when there is none.
  std::size_t section(std::string const &Section) const;
  /// The lines on which the key stands, in order.
  std::vector<std::size_t> key(std::string const &Section,
                               std::string const &Key) const;

private:
  struct Line {
    std::size_t Number_;
    std::string Section_;
    std::string Key_; ///< Empty for the section's header.
  };

  void addLine(std::string const &Raw, std::size_t Number);

  std::vector<Line> Lines_;
  std::string Section_;
};

} // namespace laburnum
