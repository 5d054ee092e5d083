#pragma once

#include <LibCore/Identifier.h>

#include <cstdint>

namespace laburnum::exchange {

/// How the servers of each service number the events of a stream. Identifiers
/// increase; by how much is up to the service.
class EventNumbering {
public:
  virtual ~EventNumbering() = default;
  /// A server has sent two events one after the other whose identifiers differ
  /// by Step.
  virtual void onStep(ServiceName const &Service, std::uint64_t Step) = 0;
  /// Returns whether a server may go on with an event whose identifier is
  /// larger by Step than that of the last event of another run.
  virtual bool mayFollow(ServiceName const &Service,
                         std::uint64_t Step) const = 0;
};

} // namespace laburnum::exchange
