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

/// A caller and everything that it received, over all its connections.
struct TestCaller {
  std::string Key_ = "key";
  std::uint64_t Fingerprint_ = 7;
  std::uint32_t MaxTokens_ = 200;
  streams::Tokens Got_{};
  bool IsConnected_ = false;
  bool IsMoved_ = false;
  bool IsWhole_ = false;
  bool IsExact_ = true; ///< What it has is what the flow that served it has.
  std::optional<FailureAnswer> Failure_{};

  std::uint32_t next() const { return static_cast<std::uint32_t>(Got_.size()); }
};

/// What the network does to each message, in percent.
struct NetworkFaults {
  unsigned Lost_ = 0;
  unsigned Doubled_ = 0;
  Duration LongestDelay_ = milliseconds(1);
};

/// Several ledgers, their flows and callers, joined by a faulty network. No
/// two runs of a flow produce the same text, so that a stream that was put
/// together from different ones is seen.
class RegistryFleet {
public:
  /// Names like "a1": the first letter is the data centre.
  explicit RegistryFleet(std::vector<std::string> const &Names,
                         NetworkFaults Faults = {}, std::uint64_t Seed = 1);

  void connect(TestCaller &Caller, std::string const &Name);
  /// The caller's connection breaks.
  void hangUp(TestCaller &Caller);
  /// The instance dies at once; peers notice after a while only if told.
  void kill(std::string const &Name);
  /// Cuts the instance off from its peers and ends that.
  void cut(std::string const &Name) { Cut_.insert(Name); }
  void heal(std::string const &Name) { Cut_.erase(Name); }
  void tell(std::string const &Name, Liveness Seen);
  void leave(std::string const &Name, Duration Within);
  void run(Duration Span);
  void runUntilTokens(TestCaller const &Caller, std::size_t Count);

  /// Where flows of the stream run.
  std::vector<std::string> generators(std::string const &Key) const;
  StreamRegistry const &ledger(std::string const &Name) const;
  std::vector<PeerMessage> const &sent() const { return Sent_; }

private:
  struct Flow {
    StreamEpoch Epoch_;
    streams::Tokens Tokens_;
    std::uint32_t MaxTokens_ = 0;
    std::size_t Reported_ = 0;
    std::string Generation_;
    bool IsClosed_ = false;
    bool IsMoved_ = false;
  };
  struct Node {
    explicit Node(streams::Settings const &Given) : Ledger_(Given) {}
    EntryInstance Self_;
    StreamRegistry Ledger_;
    Liveness Seen_ = Liveness::Live;
    bool IsAlive_ = true;
    std::map<StreamName, Flow> Flows_;
  };
  struct Flight {
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
  void feed(Node &On, streams::Event const &Event);
  void perform(Node &On, SendToPeer const &Action);
  void perform(Node &On, streams::StartStream const &Action);
  void perform(Node &On, streams::AttachReader const &Action);
  void perform(Node &On, streams::RefuseStream const &Action);
  void perform(Node &On, streams::CloseStream const &Action);
  void perform(Node &On, streams::NotifyMoved const &Action);
  void perform(Node &On, streams::NotifySuperseded const &Action);
  void perform(Node &On, streams::ForgetStream const &Action);
  void attach(Node &On, streams::Ticket Ticket, StreamName const &Name);
  void end(Node const &On, StreamName const &Name, bool IsMoved);
  void tellMembers();
  void step();
  void deliver();
  void generate(Node &On);
  void report(Node &On);
  void read();

  NetworkFaults const Faults_;
  std::mt19937_64 Random_;
  TimePoint Now_{seconds(1000)};
  std::map<std::string, Node> Nodes_;
  std::set<std::string> Cut_;
  std::deque<Flight> Flights_;
  std::vector<PeerMessage> Sent_;
  std::map<streams::Ticket, TestCaller *> Waiting_;
  std::vector<Connection> Connections_;
  streams::Ticket NextTicket_ = 1;
  streams::Reader NextReader_ = 1;
  int Generations_ = 0;
  int Steps_ = 0;
};

} // namespace laburnum::test
