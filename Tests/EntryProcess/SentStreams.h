#pragma once

#include "StreamServers.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnum::entry_process {

/// Sends streams to the first instance, takes those that were aborted up at the
/// last one, and counts what clients received.
class SentStreams {
public:
  /// Identifiers are those of a whole stream. A client takes its stream up
  /// TakeUps times at most.
  SentStreams(StreamServers &Servers, std::string Route,
              std::vector<std::uint64_t> Identifiers, std::size_t TakeUps = 0)
      : Servers_(Servers), Route_(std::move(Route)),
        Identifiers_(std::move(Identifiers)), TakeUps_(TakeUps) {}

  /// Sends streams at once and reads them to their ends.
  void send(std::size_t AtOnce);

  std::size_t sent() const { return Sent_; }
  std::size_t complete() const { return Complete_; }
  /// Streams that were complete without being taken up.
  std::size_t completeAtOnce() const { return CompleteAtOnce_; }
  std::size_t takeUps() const { return TakenUp_; }
  /// Streams that ended as complete before their last event.
  std::size_t earlyEnds() const { return EarlyEnds_; }
  /// Streams in which an event was missing, came twice or out of order.
  std::size_t disordered() const { return Disordered_; }
  std::string describe() const;
  /// Returns what the instances logged of early ended and disordered streams.
  std::string log() const;

private:
  struct Stream {
    std::string Id_;
    std::string FirstAttempt_; ///< The one that brought the first event.
    std::vector<std::uint64_t> Events_ = {};
  };

  /// Returns the streams that were aborted.
  std::vector<Stream> play(std::vector<Stream> Streams, std::size_t Try);

  StreamServers &Servers_;
  std::string const Route_;
  std::vector<std::uint64_t> const Identifiers_;
  std::size_t const TakeUps_;
  std::size_t Sent_ = 0;
  std::size_t Complete_ = 0;
  std::size_t CompleteAtOnce_ = 0;
  std::size_t TakenUp_ = 0;
  std::size_t EarlyEnds_ = 0;
  std::size_t Disordered_ = 0;
  std::vector<std::string> Faulty_; ///< Identifiers of such streams.
};

/// Counts the lines of this text that servers s0, s1 and so on have written.
std::size_t countLines(StreamServers &Servers, std::size_t Number,
                       std::string const &Text);

} // namespace laburnum::entry_process
