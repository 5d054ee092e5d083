#pragma once

#include <LibBackend/BackendClient.h>

#include <optional>
#include <string>
#include <vector>

namespace laburnum {

/// One HTTP request of a caller, free of any HTTP library.
struct CallerMessage {
  std::string Method_;
  std::string Target_; ///< Path with query, percent-encoded as received.
  std::vector<HttpField> Fields_;
  std::string Body_;

  /// The first field of this name, compared without case (RFC 9110, section
  /// 5.1).
  std::optional<std::string> field(std::string const &Name) const;

  auto operator<=>(CallerMessage const &) const = default;
};

} // namespace laburnum
