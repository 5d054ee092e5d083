#pragma once

#include <LibRecovery/CheckpointShelf.h>
#include <LibRecovery/OwnedStream.h>
#include <LibRecovery/StreamSearch.h>

#include <map>

namespace laburnum {

/// The streams of this instance and the checkpoints of its peers' streams: who
/// owns a stream, where a caller who comes back gets the rest, what a stop or a
/// reclaim of this instance does with its streams. A deterministic state
/// machine.
///
/// A stream has one owner, which generates it. Ownership goes to another
/// instance by a hand-over, with all tokens, or by a checkpoint when the owner
/// does not answer. Each owner has an epoch, and news of an older epoch is
/// refused, so that a former owner that was only cut off stops when it is heard
/// again. Tokens already at a caller are never generated again: an offset that
/// is not known to a reachable instance is a typed failure.
class StreamLedger {
public:
  explicit StreamLedger(streams::Settings Given);

  std::vector<streams::Action> handle(streams::Event const &Event,
                                      TimePoint Now);

  streams::Counts const &counts() const { return Counts_; }
  /// Streams that a stop of this instance must still give away or finish.
  std::size_t streamsAtRisk() const;

private:
  using Actions = streams::Actions;
  using OwnedStream = streams::OwnedStream;
  using StreamSearch = streams::StreamSearch;

  void on(streams::StreamWanted const &Event);
  void on(streams::ReaderAttached const &Event);
  void on(streams::ReaderLeft const &Event);
  void on(streams::TokensProduced const &Event);
  void on(streams::FlowEnded const &Event);
  void on(streams::StreamClosed const &Event);
  void on(streams::MembersChanged const &Event);
  void on(streams::PeerSaid const &Event);
  void on(streams::OwnLeaving const &Event);
  void on(streams::TimePassed const &Event);

  // What peers say.
  void hear(InstanceId const &From, StreamCheckpoint const &Told);
  void hear(InstanceId const &From, StreamQuery const &Told);
  void hear(InstanceId const &From, StreamState const &Told);
  void hear(InstanceId const &From, StreamHandOver const &Told);
  void hearOfOwned(InstanceId const &From, StreamState const &Told,
                   OwnedStream &Owned);
  void hearOfSearch(InstanceId const &From, StreamState const &Told);
  /// Whether a hand-over needs no more than an answer; gives it.
  bool isHandOverKnown(StreamHandOver const &Told);
  void answerFromOwned(StreamQuery const &Asked, OwnedStream &Owned);
  void answerFromShelf(StreamQuery const &Asked);
  void reply(Endpoint const &To, StreamName const &Name, std::uint64_t Ticket,
             StreamKnowledge Knowledge, streams::Epoch const &Epoch,
             EntryInstance const &Owner, std::uint32_t Count);

  // Callers.
  void serve(streams::StreamWanted const &Wanted, OwnedStream &Owned);
  void search(streams::StreamWanted const &Wanted,
              std::optional<EntryInstance> const &Owner);
  void settle(streams::Ticket Ticket,
              std::optional<StreamSearch::Verdict> const &Verdict);
  void settleUnknown(streams::StreamWanted const &Wanted);
  void startAnew(streams::StreamWanted const &Wanted);
  void refuse(streams::Ticket Ticket, FailureAnswer Failure);
  /// Makes this instance the owner of what is on the shelf.
  void takeFromShelf(StreamName const &Name, streams::Epoch const &Mine,
                     std::optional<streams::StreamWanted> const &Wanted);
  void begin(StreamName const &Name, streams::KeptStream Stream,
             std::optional<streams::Ticket> Ticket, std::uint32_t From);

  // Giving streams away.
  void beginHandOver(StreamName const &Name, OwnedStream &Owned,
                     EntryInstance const &To, std::uint64_t Ticket);
  void sendHandOver(StreamName const &Name, OwnedStream &Owned);
  /// The receiver is the owner now. Owned is gone afterwards.
  void endHandOver(StreamName const &Name, OwnedStream &Owned);
  /// Another instance took the stream over unasked. The stream is gone
  /// afterwards.
  void dropSuperseded(StreamName const &Name);
  void chooseNextReceiver(StreamName const &Name, OwnedStream &Owned);
  void takeBack(StreamName const &Name, OwnedStream &Owned);
  void retryHandOver(StreamName const &Name, OwnedStream &Owned);
  void giveAwayIfLate(StreamName const &Name, OwnedStream &Owned);

  // Upkeep.
  void keepCheckpoint(StreamName const &Name, OwnedStream &Owned);
  bool isCheckpointDue(OwnedStream const &Owned) const;
  bool isEndKept(OwnedStream const &Owned) const;
  void sendCheckpoint(StreamName const &Name, OwnedStream &Owned);
  void endIfAbandoned(StreamName const &Name, OwnedStream &Owned);
  bool isExpired(OwnedStream const &Owned) const;
  void forgetExpired();
  OwnedStream *owned(StreamName const &Name);
  /// The stream of this very epoch, if it runs here.
  OwnedStream *running(StreamName const &Name, StreamEpoch const &Epoch);

  streams::Settings const Settings_;
  streams::StreamPlaces Places_;
  std::map<StreamName, OwnedStream> Owned_;
  streams::CheckpointShelf Shelf_;
  std::map<streams::Ticket, StreamSearch> Searches_;
  std::optional<TimePoint> GoneAt_; ///< Set while this instance is leaving.
  Duration LeavingWithin_{};
  streams::Counts Counts_;
  TimePoint Now_{};
  Actions Out_;
};

} // namespace laburnum
