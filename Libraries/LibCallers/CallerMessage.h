#pragma once

#include <LibBackend/BackendClient.h>

#include <optional>
#include <string>
#include <vector>

namespace laburnum {

/// One HTTP request of a caller, independent of the HTTP library.
struct CallerMessage {
  std::string Method_;
  std::string Target_; ///< Path with query, percent-encoded as received.
  std::vector<HttpField> Fields_;
  std::string Body_;

  /// The value of the first field of this name, compared without regard to case
  /// (RFC 9110, section 5.1).
  std::optional<std::string> field(std::string const &Name) const;

  auto operator<=>(CallerMessage const &) const = default;
};

} // namespace laburnum
