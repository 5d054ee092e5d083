#pragma once

#include <LibRecovery/CheckpointStore.h>
#include <LibRecovery/OwnedStream.h>
#include <LibRecovery/StreamSearch.h>

#include <map>

namespace laburnum {

/// Tracks the streams of this instance and the checkpoints of its peers'
/// streams. Decides which instance owns a stream, where a reconnecting caller
/// resumes it, and how streams are handed over when this instance stops or is
/// reclaimed. A deterministic state machine: events in, actions out.
///
/// A stream has one owner, which generates it. Ownership passes to another
/// instance by a hand-over with all tokens, or by resuming from a checkpoint if
/// the owner does not answer. Each ownership has an epoch, and messages of an
/// older epoch are rejected, so that a former owner that was only partitioned
/// stops when it is reachable again. Tokens that a caller already has are never
/// generated again: resuming at an offset that no reachable instance knows
/// fails with a typed error.
class StreamRegistry {
public:
  explicit StreamRegistry(streams::Settings Given);

  std::vector<streams::Action> handle(streams::Event const &Event,
                                      TimePoint Now);

  streams::Counts const &counts() const { return Counts_; }
  /// The number of streams that must still be handed over or finished before
  /// this instance may stop.
  std::size_t streamsAtRisk() const;

private:
  using Actions = streams::Actions;
  using OwnedStream = streams::OwnedStream;
  using StreamSearch = streams::StreamSearch;

  void on(streams::StreamRequested const &Event);
  void on(streams::ReaderAttached const &Event);
  void on(streams::ReaderLeft const &Event);
  void on(streams::TokensProduced const &Event);
  void on(streams::FlowEnded const &Event);
  void on(streams::StreamClosed const &Event);
  void on(streams::MembersChanged const &Event);
  void on(streams::PeerMessageReceived const &Event);
  void on(streams::LocalInstanceLeaving const &Event);
  void on(streams::TimePassed const &Event);

  // Messages of peers.
  void onMessage(InstanceId const &From, StreamCheckpoint const &Message);
  void onMessage(InstanceId const &From, StreamQuery const &Message);
  void onMessage(InstanceId const &From, StreamState const &Message);
  void onMessage(InstanceId const &From, StreamHandOver const &Message);
  void onOwnedState(InstanceId const &From, StreamState const &Message,
                    OwnedStream &Owned);
  void onSearchAnswer(InstanceId const &From, StreamState const &Message);
  /// Answers a repeated hand-over, and ignores one that names another owner.
  /// Returns false if the hand-over remains to be processed.
  bool answerKnownHandOver(StreamHandOver const &Message);
  void answerFromOwned(StreamQuery const &Asked, OwnedStream &Owned);
  void answerFromCheckpoint(StreamQuery const &Asked);
  void reply(Endpoint const &To, StreamName const &Name, std::uint64_t Ticket,
             StreamKnowledge Knowledge, streams::Epoch const &Epoch,
             EntryInstance const &Owner, std::uint32_t Count);

  // Callers.
  void serve(streams::StreamRequested const &Request, OwnedStream &Owned);
  void search(streams::StreamRequested const &Request,
              std::optional<EntryInstance> const &Owner);
  void finishSearch(streams::Ticket Ticket,
                    std::optional<StreamSearch::Outcome> const &Outcome);
  void onStreamNotFound(streams::StreamRequested const &Request);
  void startAnew(streams::StreamRequested const &Request);
  void refuse(streams::Ticket Ticket, FailureAnswer Failure);
  /// Makes this instance the owner of the stream and resumes it from the local
  /// checkpoint.
  void
  resumeFromCheckpoint(StreamName const &Name, streams::Epoch const &NewEpoch,
                       std::optional<streams::StreamRequested> const &Request);
  void begin(StreamName const &Name, streams::RetainedStream Stream,
             std::optional<streams::Ticket> Ticket, std::uint32_t From);

  // Handing streams over.
  void beginHandOver(StreamName const &Name, OwnedStream &Owned,
                     EntryInstance const &To, std::uint64_t Ticket);
  void sendHandOver(StreamName const &Name, OwnedStream &Owned);
  /// Called when the receiver has become the owner. Invalidates Owned.
  void completeHandOver(StreamName const &Name, OwnedStream &Owned);
  /// Called when another instance took the stream over from a checkpoint.
  /// Erases the stream here.
  void dropSuperseded(StreamName const &Name);
  void chooseNextReceiver(StreamName const &Name, OwnedStream &Owned);
  void resumeAfterFailedHandOver(StreamName const &Name, OwnedStream &Owned);
  void retryHandOver(StreamName const &Name, OwnedStream &Owned);
  void handOverIfLate(StreamName const &Name, OwnedStream &Owned);

  // Checkpoints and expiry.
  void updateCheckpoint(StreamName const &Name, OwnedStream &Owned);
  bool isCheckpointDue(OwnedStream const &Owned) const;
  bool isEndCheckpointed(OwnedStream const &Owned) const;
  void sendCheckpoint(StreamName const &Name, OwnedStream &Owned);
  void endIfAbandoned(StreamName const &Name, OwnedStream &Owned);
  bool isExpired(OwnedStream const &Owned) const;
  void forgetExpired();
  OwnedStream *owned(StreamName const &Name);
  /// The stream, if it runs here with exactly this epoch; otherwise nullptr.
  OwnedStream *running(StreamName const &Name, StreamEpoch const &Epoch);

  streams::Settings const Settings_;
  streams::CheckpointPlacement Placement_;
  std::map<StreamName, OwnedStream> Owned_;
  streams::CheckpointStore Checkpoints_;
  std::map<streams::Ticket, StreamSearch> Searches_;
  std::optional<TimePoint> GoneAt_; ///< Set once this instance is leaving.
  Duration LeavingWithin_{};
  streams::Counts Counts_;
  TimePoint Now_{};
  Actions Out_;
};

} // namespace laburnum
