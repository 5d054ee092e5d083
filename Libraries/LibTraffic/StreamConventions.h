#pragma once

#include <LibTraffic/StreamOrigins.h>

#include <cstdint>

namespace laburnum::exchange {

/// How the servers of a service and software version usually write streams.
/// Identifiers of events increase; by how much is up to the service.
class StreamConventions {
public:
  virtual ~StreamConventions() = default;
  /// A server has begun a new stream with this identifier.
  virtual void onFirst(StreamOrigin const &Origin, std::uint64_t Id) = 0;
  /// A server has sent two events one after the other whose identifiers differ
  /// by Step.
  virtual void onStep(StreamOrigin const &Origin, std::uint64_t Step) = 0;
  /// A server has sent data with an identifier or without one.
  virtual void onData(StreamOrigin const &Origin, bool HasIdentifier) = 0;
  /// Two servers have left out the same identifiers.
  virtual void onAgreedStep(StreamOrigin const &Origin, std::uint64_t Step) = 0;
  /// A server has ended a stream in order, after an event with an identifier or
  /// after data without one.
  virtual void onEnd(StreamOrigin const &Origin, bool HasIdentifier) = 0;
  /// Returns whether a new stream that begins with this identifier lacks
  /// events.
  virtual bool isLateFirst(StreamOrigin const &Origin,
                           std::uint64_t Id) const = 0;
  /// Returns whether events are missing between two that a server sends one
  /// after the other and whose identifiers differ by Step.
  virtual bool isGap(StreamOrigin const &Origin, std::uint64_t Step) const = 0;
  /// Returns whether a server may go on with an event whose identifier is
  /// larger by Step than that of the last event of another run.
  virtual bool mayFollow(StreamOrigin const &Origin,
                         std::uint64_t Step) const = 0;
  /// Returns whether nearly all data has an identifier.
  virtual bool numbersData(StreamOrigin const &Origin) const = 0;
  /// Returns whether streams end with an event that has an identifier.
  virtual bool numbersLast(StreamOrigin const &Origin) const = 0;
};

} // namespace laburnum::exchange
