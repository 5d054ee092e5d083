#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace laburnum {

/// Finds the line numbers of sections and keys in the text of an INI file,
/// since the INI library does not report them.
class SettingsLines {
public:
  explicit SettingsLines(std::string const &Text);

  /// Returns the line of the section's header, from 1; 0 when there is none.
  std::size_t section(std::string const &Section) const;
  /// Returns the lines that contain the key, in order.
  std::vector<std::size_t> key(std::string const &Section,
                               std::string const &Key) const;

private:
  struct Line {
    std::size_t Number_;
    std::string Section_;
    std::string Key_; ///< Empty for a section header.
  };

  void addLine(std::string const &Raw, std::size_t Number);

  std::vector<Line> Lines_;
  std::string Section_;
};

} // namespace laburnum
