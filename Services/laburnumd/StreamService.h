#pragma once

#include "ControlThread.h"
#include "MeteredFlows.h"
#include "StreamReader.h"
#include "TrafficView.h"

#include <LibCallers/RequestReader.h>
#include <LibCore/IdentifierSource.h>
#include <LibMetrics/MetricsRegistry.h>
#include <LibRecovery/StreamRegistry.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <variant>

namespace laburnum {

/// Connects callers and flows of model streams with the stream ledger on the
/// control thread, and the ledger with its peers.
class StreamService {
public:
  using Send = std::function<void(SendToPeer const &)>;
  using Opened = std::variant<std::shared_ptr<StreamReader>, FailureAnswer>;

  StreamService(ControlThread &Control, TrafficView const &View,
                MeteredFlows &Flows, MetricsRegistry &Metrics,
                std::uint64_t Seed);
  ~StreamService();

  /// Called once, before the control thread runs. Send is called on it.
  void start(EntryInstance const &Self, Send Send);

  /// Begins the stream, or finds it where it is. Blocks while peers are asked.
  /// Admission is kept until the caller's connection has ended.
  Opened open(ParsedRequest const &Read, std::shared_ptr<void> Admission);

  /// Hands over, from now on, what will not end within the time.
  void leave(Duration Within);
  /// Waits until nothing would be lost if this instance were gone; false when
  /// Limit passed first.
  bool waitUntilSafe(Duration Limit);
  /// Ends all flows and waits for them a little; false when one is left, which
  /// still uses this object.
  bool stop();

  // Called on the control thread.

  void membersChanged(std::vector<Member> const &Members);
  /// Messages that are not about streams are ignored.
  void receive(InstanceId const &From, PeerMessage const &Message);

private:
  /// A stream whose tokens are here.
  struct Live {
    std::shared_ptr<StreamLog> Log_;
    StreamEpoch Epoch_;
    std::uint32_t Reported_ = 0; ///< Tokens that the ledger was told of.
  };
  struct Connection {
    std::shared_ptr<StreamLog> Log_;
    ReaderNumber Reader_ = 0;
  };
  using Connected = std::variant<Connection, FailureAnswer>;
  /// A traffic thread that waits for its caller's stream.
  struct Waiter {
    std::promise<Connected> Promise_;
    std::optional<TokenDigest> Digest_; ///< Of the tokens that the caller has.
  };

  // On the control thread.
  void feed(streams::Event Event);
  void perform(SendToPeer const &Action);
  void perform(streams::StartStream const &Action);
  void perform(streams::AttachReader const &Action);
  void perform(streams::RefuseStream const &Action);
  void perform(streams::CloseStream const &Action);
  void perform(streams::NotifyMoved const &Action);
  void perform(streams::NotifySuperseded const &Action);
  void perform(streams::ForgetStream const &Action);
  void connect(streams::Ticket Ticket, StreamName const &Name,
               std::uint32_t From);
  void settle(streams::Ticket Ticket, Connected Outcome);
  void report();
  void reportEnd(StreamName const &Name, StreamEpoch const &Epoch,
                 StreamPhase Phase);
  void countChanges();
  CallerRequest requestOf(streams::StartStream const &Action);

  /// Runs on a thread of its own.
  void runFlow(StreamName const &Name, StreamEpoch const &Epoch,
               CallerRequest const &Request,
               std::shared_ptr<StreamLog> const &Log);
  void beginThread();
  void endThread();

  ControlThread &Control_;
  TrafficView const &View_;
  MeteredFlows &Flows_;
  Counter &HandedOver_;
  Counter &TakenOver_;
  Counter &Resumed_;
  Counter &CheckpointBytes_;
  IdentifierSource Identifiers_;

  Send Send_;
  std::unique_ptr<StreamRegistry> Ledger_;
  streams::Counts Counted_;
  std::deque<streams::Event> Events_;
  bool IsFeeding_ = false;
  std::map<StreamName, Live> Live_;
  std::map<streams::Ticket, Waiter> Waiting_;
  streams::Ticket NextTicket_ = 1;
  ReaderNumber NextReader_ = 1;

  std::mutex Mutex_; ///< Guards Threads_.
  std::condition_variable ThreadEnded_;
  std::size_t Threads_ = 0;
};

} // namespace laburnum
