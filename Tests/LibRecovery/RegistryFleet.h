#pragma once

#include <LibRecovery/StreamRegistry.h>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace laburnum::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A caller and the tokens that it received over all its connections.
struct TestCaller {
  std::string Key_ = "key";
  std::uint64_t Fingerprint_ = 7;
  std::uint32_t MaxTokens_ = 200;
  streams::Tokens ReceivedTokens_{};
  bool IsConnected_ = false;
  bool IsMoved_ = false;
  bool IsComplete_ = false;
  bool IsExact_ = true; ///< Its tokens equal those of the flow that served it.
  std::optional<FailureAnswer> Failure_{};

  std::uint32_t next() const {
    return static_cast<std::uint32_t>(ReceivedTokens_.size());
  }
};

/// Faults of the simulated network, as a probability per message in percent.
struct NetworkFaults {
  unsigned LostPercent_ = 0;
  unsigned DuplicatedPercent_ = 0;
  Duration MaxDelay_ = milliseconds(1);
};

/// Several registries with their flows and callers, connected by a simulated
/// faulty network. No two runs of a flow produce the same text, so that a
/// stream assembled from different runs is detected.
class RegistryFleet {
public:
  /// The first letter of a name like "a1" is the data centre.
  explicit RegistryFleet(std::vector<std::string> const &Names,
                         NetworkFaults Faults = {}, std::uint64_t Seed = 1);

  void connect(TestCaller &Caller, std::string const &Name);
  /// Breaks the caller's connection.
  void disconnect(TestCaller &Caller);
  /// Crashes the instance. Its peers see it as live until setLiveness() changes
  /// that.
  void kill(std::string const &Name);
  /// Drops all messages between the instance and its peers, until heal().
  void partition(std::string const &Name) { Partitioned_.insert(Name); }
  void heal(std::string const &Name) { Partitioned_.erase(Name); }
  void setLiveness(std::string const &Name, Liveness Seen);
  void leave(std::string const &Name, Duration Within);
  void run(Duration Span);
  void runUntilTokens(TestCaller const &Caller, std::size_t Count);

  /// The instances that currently generate the stream.
  std::vector<std::string> generators(std::string const &Key) const;
  StreamRegistry const &registry(std::string const &Name) const;
  std::vector<PeerMessage> const &sent() const { return Sent_; }

private:
  struct Flow {
    StreamEpoch Epoch_;
    streams::Tokens Tokens_;
    std::uint32_t MaxTokens_ = 0;
    std::size_t Reported_ = 0;
    std::string RunId_;
    bool IsClosed_ = false;
    bool IsMoved_ = false;
  };
  struct Node {
    explicit Node(streams::Settings const &Given) : Registry_(Given) {}
    EntryInstance Self_;
    StreamRegistry Registry_;
    Liveness Liveness_ = Liveness::Live;
    bool IsAlive_ = true;
    std::map<StreamName, Flow> Flows_;
  };
  struct InFlightMessage {
    TimePoint Due_;
    std::string From_;
    std::uint16_t To_ = 0;
    PeerMessage Message_;
  };
  struct Connection {
    TestCaller *Caller_ = nullptr;
    std::string Node_;
    StreamName Name_;
    streams::Reader Reader_ = 0;
    StreamEpoch Epoch_;
  };

  static StreamName nameOf(std::string const &Key) {
    return {AccountName("account"), IdempotencyKey(Key)};
  }
  void feed(Node &Host, streams::Event const &Event);
  void perform(Node &Host, SendToPeer const &Action);
  void perform(Node &Host, streams::StartStream const &Action);
  void perform(Node &Host, streams::AttachReader const &Action);
  void perform(Node &Host, streams::RefuseStream const &Action);
  void perform(Node &Host, streams::CloseStream const &Action);
  void perform(Node &Host, streams::NotifyMoved const &Action);
  void perform(Node &Host, streams::NotifySuperseded const &Action);
  void perform(Node &Host, streams::ForgetStream const &Action);
  void attach(Node &Host, streams::Ticket Ticket, StreamName const &Name);
  void end(Node const &Host, StreamName const &Name, bool IsMoved);
  void notifyMembers();
  void step();
  void deliver();
  void generate(Node &Host);
  void report(Node &Host);
  void read();

  NetworkFaults const Faults_;
  std::mt19937_64 Random_;
  TimePoint Now_{seconds(1000)};
  std::map<std::string, Node> Nodes_;
  std::set<std::string> Partitioned_;
  std::deque<InFlightMessage> InFlight_;
  std::vector<PeerMessage> Sent_;
  std::map<streams::Ticket, TestCaller *> Waiting_;
  std::vector<Connection> Connections_;
  streams::Ticket NextTicket_ = 1;
  streams::Reader NextReader_ = 1;
  int LastRunId_ = 0;
  int Steps_ = 0;
};

} // namespace laburnum::test
