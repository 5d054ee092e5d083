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

/// Connects callers and flows of model streams with the stream registry on the
/// control thread, and the registry with its peers.
class StreamService {
public:
  using Send = std::function<void(SendToPeer const &)>;
  using OpenResult = std::variant<std::shared_ptr<StreamReader>, FailureAnswer>;

  StreamService(ControlThread &Control, TrafficView const &View,
                MeteredFlows &Flows, MetricsRegistry &Metrics,
                std::uint64_t Seed);
  ~StreamService();

  /// Called once, before the control thread runs. Send is called on it.
  void start(EntryInstance const &Self, Send Send);

  /// Starts the stream or attaches to it wherever it runs. Blocks while peers
  /// are queried. Admission is held until the caller's connection ends.
  OpenResult open(ParsedRequest const &Read, std::shared_ptr<void> Admission);

  /// Starts to hand over streams that will not end within the given time.
  void beginHandOver(Duration Within);
  /// Waits until no stream would be lost if this instance stopped; false if
  /// Limit elapses first.
  bool waitUntilSafe(Duration Timeout);
  /// Closes all streams and waits briefly for their flows; false if a flow is
  /// still running and uses this object.
  bool stop();

  // Called on the control thread.

  void membersChanged(std::vector<Member> const &Members);
  /// Ignores messages that are not about streams.
  void receive(InstanceId const &From, PeerMessage const &Message);

private:
  /// A stream whose tokens are held by this instance.
  struct LocalStream {
    std::shared_ptr<StreamLog> Log_;
    StreamEpoch Epoch_;
    std::uint32_t Reported_ = 0; ///< Tokens reported to the registry.
  };
  struct Connection {
    std::shared_ptr<StreamLog> Log_;
    ReaderNumber Reader_ = 0;
  };
  using ConnectResult = std::variant<Connection, FailureAnswer>;
  /// A traffic thread that waits until its caller is attached to a stream.
  struct Waiter {
    std::promise<ConnectResult> Promise_;
    std::optional<TokenDigest> Digest_; ///< Of tokens the caller received.
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
  void resolve(streams::Ticket Ticket, ConnectResult Outcome);
  void report();
  void reportEnd(StreamName const &Name, StreamEpoch const &Epoch,
                 StreamPhase Phase);
  void countChanges();
  CallerRequest requestOf(streams::StartStream const &Action);

  /// Runs on a dedicated thread.
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
  std::unique_ptr<StreamRegistry> Registry_;
  streams::Counts ReportedCounts_;
  std::deque<streams::Event> Events_;
  bool IsFeeding_ = false;
  std::map<StreamName, LocalStream> LocalStreams_;
  std::map<streams::Ticket, Waiter> Waiting_;
  streams::Ticket NextTicket_ = 1;
  ReaderNumber NextReader_ = 1;

  std::mutex Mutex_; ///< Guards Threads_.
  std::condition_variable ThreadEnded_;
  std::size_t Threads_ = 0;
};

} // namespace laburnum
