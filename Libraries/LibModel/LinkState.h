#pragma once

namespace laburnum {

/// Whether this instance reaches the servers of a service.
enum class LinkState {
  Up,
  Cut, ///< It reached none of several servers.
};

} // namespace laburnum
