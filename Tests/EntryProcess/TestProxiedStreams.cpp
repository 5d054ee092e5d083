#include "StreamServers.h"
#include "VersionedFleet.h"

#include <StreamSoak/StreamAnswer.h>

#include <catch2/catch.hpp>

#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <thread>

using namespace laburnum;
using namespace laburnum::entry_process;
using laburnum::stream_soak::decodeAnswer;
using laburnum::stream_soak::StreamAnswer;
using laburnum::stream_soak::StreamEvent;

namespace {

using Random = std::mt19937_64;

std::uint64_t below(Random &Numbers, std::uint64_t End) {
  return std::uniform_int_distribution<std::uint64_t>(0, End - 1)(Numbers);
}

/// The program of the instances; another build can be named to try it.
std::string program() {
  auto const *Given = std::getenv("LABURNUM_ENTRY_PROGRAM");
  return Given ? Given : "laburnum-entry";
}

/// What all servers of a seed have in common.
struct Play {
  explicit Play(std::uint64_t Seed) : Seed_(Seed) {
    Random Numbers(Seed);
    std::vector<std::uint64_t> const Steps = {1, 3, 8};
    Step_ = Steps[below(Numbers, Steps.size())];
  }

  /// Nobody can tell the early end of a stream that can't be taken up, so that
  /// such streams are not sent then.
  bool endsEarly() const { return Seed_ % 2 == 0; }

  std::uint64_t Seed_;
  std::uint64_t Step_;
};

/// The tries of a client for one stream, and what they break of rule ORDER.
class SteppedHistory {
public:
  explicit SteppedHistory(std::uint64_t Step) : Step_(Step) {}

  void add(std::string const &AttemptId, std::string const &Note,
           StreamAnswer const &Answer) {
    ++Tries_;
    Text_ << "  " << AttemptId << ' ' << Note << " after=" << Last_
          << " status=" << Answer.Status_
          << (Answer.IsComplete_ ? " complete" : "") << " events:";
    bool IsFirst = true;
    for (auto const &Event : Answer.Events_) {
      if (FirstAttempt_.empty())
        FirstAttempt_ = AttemptId;
      Text_ << ' ' << Event.Id_ << '[' << Event.Data_ << ']';
      check(Event, IsFirst ? " over tries" : " in an answer");
      IsFirst = false;
    }
    Text_ << '\n';
    if (Answer.IsComplete_ && Last_ != VersionedFleet::StreamLength * Step_)
      Violations_.insert("early end");
  }

  std::size_t tries() const { return Tries_; }
  /// The last event so far, or 0.
  std::uint64_t last() const { return Last_; }
  std::string const &firstAttempt() const { return FirstAttempt_; }
  std::set<std::string> const &violations() const { return Violations_; }
  std::string describe() const { return Text_.str(); }

private:
  void check(StreamEvent const &Event, std::string const &Where) {
    std::istringstream Words(Event.Data_);
    std::string Version;
    std::uint64_t Start = 0;
    std::string Run;
    Words >> Version >> Start >> Run;
    if (Event.Id_ <= Last_)
      Violations_.insert("repeat" + Where);
    if (Event.Id_ > Last_ + Step_)
      Violations_.insert("gap" + Where);
    if (Event.Id_ % Step_ != 0)
      Violations_.insert("odd identifier" + Where);
    if (Run != Run_ && Start != Last_)
      Violations_.insert("joined runs" + Where);
    Last_ = Event.Id_;
    Run_ = Run;
  }

  std::uint64_t const Step_;
  std::size_t Tries_ = 0;
  std::uint64_t Last_ = 0;
  std::string FirstAttempt_; ///< The one that brought the first event.
  std::string Run_;
  std::set<std::string> Violations_;
  std::ostringstream Text_;
};

/// Clients on threads of their own, and what they saw.
class Clients {
public:
  static constexpr unsigned Number = 8;
  static constexpr unsigned StreamsOfEach = 7;

  Clients(StreamServers &Servers, Play const &Play)
      : Servers_(Servers), Play_(Play) {
    for (unsigned Client = 0; Client < Number; ++Client)
      Threads_.emplace_back([this, Client] { run(Client); });
  }
  ~Clients() { join(); }
  Clients(Clients const &) = delete;
  Clients &operator=(Clients const &) = delete;

  void join() {
    for (auto &Thread : Threads_)
      Thread.join();
    Threads_.clear();
  }
  /// Waits until the clients have received More events or ends. Returns false
  /// once all clients have ended.
  bool awaitMore(std::uint64_t More) {
    std::unique_lock Lock(Mutex_);
    auto const End = Received_ + More;
    Changed_.wait(Lock, [&] { return Received_ >= End || Ended_ == Number; });
    return Ended_ < Number;
  }
  std::vector<std::string> const &violations() const { return Violations_; }
  /// The streams with violations.
  std::set<std::string> const &violating() const { return Violating_; }
  std::size_t complete() const { return Complete_; }

private:
  void run(unsigned Client) {
    constexpr std::uint64_t Stride = 1000;
    Random Numbers(Play_.Seed_ * Stride + Client);
    for (unsigned Each = 0; Each < StreamsOfEach; ++Each)
      playStream(std::to_string(Client) + '-' + std::to_string(Each), Numbers);
    std::lock_guard const Lock(Mutex_);
    ++Ended_;
    Changed_.notify_all();
  }

  /// Around the time that a stream takes, or far beyond it.
  static std::chrono::milliseconds chooseDeadline(Random &Numbers) {
    constexpr std::uint64_t Shortest = 170;
    constexpr std::uint64_t Range = 91;
    if (below(Numbers, 3) > 0)
      return std::chrono::seconds(8);
    return std::chrono::milliseconds(Shortest + below(Numbers, Range));
  }

  void playStream(std::string const &Id, Random &Numbers) {
    constexpr std::size_t MostTries = 4;
    bool const MayResume = Play_.endsEarly() || below(Numbers, 2) == 0;
    auto const Deadline = chooseDeadline(Numbers);
    SteppedHistory History(Play_.Step_);
    bool IsComplete = false;
    while (!IsComplete && History.tries() < (MayResume ? MostTries : 1)) {
      auto const Instance = below(Numbers, Servers_.instances());
      StreamClient Client(
          Servers_.instance(Instance),
          Id + '-' + std::to_string(History.tries()), History.firstAttempt(),
          History.last() > 0 ? std::to_string(History.last()) : "",
          MayResume ? "/stream/" : "/once/", Deadline);
      for (std::size_t Events = 1; Events <= VersionedFleet::StreamLength;
           ++Events) {
        Client.readEvents(Events);
        addProgress();
      }
      Client.readToEnd();
      auto const Answer = decodeAnswer(Client.received());
      IsComplete = Answer.IsComplete_;
      History.add(Client.attemptId(),
                  std::string(MayResume ? "stream" : "once") +
                      " instance=" + std::to_string(Instance) +
                      " deadline=" + std::to_string(Deadline.count()),
                  Answer);
    }
    std::lock_guard const Lock(Mutex_);
    Complete_ += IsComplete ? 1 : 0;
    if (!History.violations().empty())
      Violating_.insert(Id);
    for (auto const &Violation : History.violations())
      Violations_.push_back("violation: " + Violation + '\n' +
                            History.describe());
  }

  void addProgress() {
    std::lock_guard const Lock(Mutex_);
    ++Received_;
    Changed_.notify_all();
  }

  StreamServers &Servers_;
  Play const Play_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::uint64_t Received_ = 0;
  std::size_t Ended_ = 0;
  std::size_t Complete_ = 0;
  std::vector<std::string> Violations_;
  std::set<std::string> Violating_;
  std::vector<std::thread> Threads_;
};

/// Kills, stops and cuts off servers at seeded moments.
class Troublemaker {
public:
  Troublemaker(StreamServers &Servers, Play const &Play)
      : Servers_(Servers), Numbers_(Play.Seed_ + 1) {
    for (auto const &Id : Ids_) {
      StreamServers::Settings Chosen;
      Chosen.Framing_ = choose({"closes", "chunked", "length"});
      Chosen.StatesStart_ = below(Numbers_, 2) == 0;
      Chosen.IsProxied_ = below(Numbers_, 2) == 0;
      Chosen.Others_ = {"--step=" + std::to_string(Play.Step_),
                        "--deadline=" +
                            choose({"closes", "finishes", "resets"})};
      if (Play.endsEarly() && Chosen.Framing_ == "closes")
        Chosen.Others_.emplace_back("--cuts=5");
      Text_ += "  " + Id + ' ' + Chosen.Framing_ +
               (Chosen.StatesStart_ ? " states its start" : "") +
               (Chosen.IsProxied_ ? " proxied" : "");
      for (auto const &Other : Chosen.Others_)
        Text_ += ' ' + Other;
      Text_ += '\n';
      Servers_.add(Id, std::move(Chosen));
    }
  }

  std::string const &describe() const { return Text_; }

  void play(Clients &Players) {
    constexpr std::uint64_t LongestWait = 24;
    while (Players.awaitMore(1 + below(Numbers_, LongestWait))) {
      // The list follows at the moment after.
      for (auto const &Id : std::exchange(Restarted_, {}))
        Servers_.list(Id);
      trouble(Ids_[below(Numbers_, Ids_.size())], Players);
    }
  }

private:
  enum class Kind { Kill, StopAndKill, StopAndGoOn, Cut, HoldProxy, End };

  std::string choose(std::vector<std::string> const &Values) {
    return Values[below(Numbers_, Values.size())];
  }

  void trouble(std::string const &Id, Clients &Players) {
    auto const Chosen = static_cast<Kind>(
        below(Numbers_, static_cast<std::uint64_t>(Kind::End)));
    if (Chosen == Kind::Cut || Chosen == Kind::HoldProxy)
      return troubleProxy(Id, Chosen, Players);
    if (Chosen != Kind::Kill)
      hold(Servers_.process(Id), Players);
    if (Chosen == Kind::StopAndGoOn)
      return Servers_.process(Id).signal(SIGCONT);
    Servers_.process(Id).signal(SIGKILL);
    Servers_.process(Id).awaitEnd();
    Servers_.restart(Id, Servers_.settings(Id).Version_);
    Restarted_.insert(Id);
  }

  void troubleProxy(std::string const &Id, Kind Chosen, Clients &Players) {
    if (!Servers_.settings(Id).IsProxied_)
      return;
    auto &Proxy = Servers_.proxy(Id);
    if (Chosen == Kind::Cut)
      return Proxy.signal(SIGUSR1);
    hold(Proxy, Players);
    Proxy.signal(SIGCONT);
  }

  void hold(processes::Process &Process, Clients &Players) {
    constexpr std::uint64_t LongestStop = 30;
    Process.signal(SIGSTOP);
    Players.awaitMore(1 + below(Numbers_, LongestStop));
  }

  std::vector<std::string> const Ids_ = {"a", "b", "c", "d"};
  StreamServers &Servers_;
  Random Numbers_;
  std::set<std::string> Restarted_;
  std::string Text_;
};

void playTroubles(std::uint64_t Seed) {
  Play const Chosen(Seed);
  StreamServers Servers(2, program());
  Troublemaker Troubles(Servers, Chosen);
  Servers.startInstances();
  Clients Players(Servers, Chosen);
  Troubles.play(Players);
  Players.join();
  INFO("seed " << Seed << ", complete streams " << Players.complete() << '\n'
               << Troubles.describe());
  for (auto const &Violation : Players.violations())
    UNSCOPED_INFO(Violation);
  for (std::size_t Number = 0; Number < Servers.instances(); ++Number)
    for (auto const &Line : Servers.instance(Number).process().lines())
      for (auto const &Id : Players.violating())
        if (Line.find(" id=" + Id + "-") != std::string::npos)
          UNSCOPED_INFO("instance " << Number << ": " << Line);
  CHECK(Players.violations().empty());
  for (auto const &[Path, Runs] : Servers.runs("/once/"))
    if (Runs > 1)
      FAIL_CHECK(Path << " ran " << Runs << " times");
  CHECK(Players.complete() >= Clients::Number * Clients::StreamsOfEach / 4);
}

} // namespace

TEST_CASE("No stream is cut, joined or run twice while its servers are killed, "
          "stopped and cut off by proxies, and stop at deadlines") {
  playTroubles(GENERATE(1U, 2U));
}

TEST_CASE("No stream is cut, joined or run twice while its servers are killed, "
          "stopped and cut off by proxies, and stop at deadlines (more seeds)",
          "[.][seeds]") {
  constexpr unsigned Seeds = 50;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed)
    playTroubles(Seed);
}
