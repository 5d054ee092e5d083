#include "FleetCase.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace review {

namespace {

constexpr double DeadlineMs = 2000;
constexpr int Workers = 240;
constexpr int Runners = 3;
constexpr unsigned Slots = 24;
constexpr double WorkMs = 15;
constexpr double LeastServed = 0.25; ///< By the rule RECOVER.

/// TROUBLE=final is a control: only the final fault, and all machines return.
bool hasFinalFault() {
  char const *const Value = std::getenv("TROUBLE");
  return hasTrouble() || (Value && std::string(Value) == "final");
}
bool hasRemovals() {
  char const *const Value = std::getenv("TROUBLE");
  return hasTrouble() && !(Value && std::string(Value) == "final");
}

std::string milliseconds(double Time) {
  return std::to_string(static_cast<int>(Time)) + " ms";
}

/// The machines to which the platform sends new connections.
class Rotation {
public:
  void add(std::string const &Address) {
    std::lock_guard const Lock(Mutex_);
    Addresses_.push_back(Address);
  }
  void remove(std::string const &Address) {
    std::lock_guard const Lock(Mutex_);
    std::erase(Addresses_, Address);
  }
  std::optional<std::string> next() {
    std::lock_guard const Lock(Mutex_);
    if (Addresses_.empty())
      return std::nullopt;
    return Addresses_[++Last_ % Addresses_.size()];
  }

private:
  std::mutex Mutex_;
  std::vector<std::string> Addresses_;
  std::size_t Last_ = 0;
};

struct Sent {
  double AtMs_ = 0;
  bool IsServed_ = false;
};

/// Sends requests at a steady rate. A request that is refused with 429 or 503
/// is sent once more, after the time that the answer states and a third of the
/// time left at most.
class Load {
public:
  Load(FleetCase const &Case, Rotation &Machines, Record &Into)
      : Case_(Case), Machines_(Machines), Into_(Into) {}

  void start() {
    BeganAt_ = nowMs();
    for (int Number = 0; Number < Workers; ++Number)
      Threads_.emplace_back([this] { work(); });
  }
  void stop() {
    IsStopped_ = true;
    for (auto &Thread : Threads_)
      Thread.join();
  }
  /// Returns the number of requests sent in the time, and of those served.
  std::pair<int, int> count(double FromMs, double ToMs) {
    std::lock_guard const Lock(Mutex_);
    std::pair<int, int> Counted;
    for (auto const &Each : Sent_)
      if (Each.AtMs_ >= FromMs && Each.AtMs_ < ToMs) {
        ++Counted.first;
        Counted.second += Each.IsServed_ ? 1 : 0;
      }
    return Counted;
  }

private:
  void work() {
    while (!IsStopped_) {
      auto const Due = BeganAt_ + Next_++ * 1000.0 / Case_.RequestsPerSecond_;
      sleepMs(Due - nowMs());
      if (!IsStopped_)
        request();
    }
  }

  void request() {
    Sent Tried{nowMs(), false};
    auto const Until = Tried.AtMs_ + DeadlineMs;
    std::string Story;
    for (int Try = 0; Try < 2 && !Tried.IsServed_; ++Try) {
      auto const Got = attempt(Until - nowMs(), Story);
      Tried.IsServed_ = Got.Status_ == 200 && Got.IsWhole_;
      if (Got.Status_ != 429 && Got.Status_ != 503)
        break;
      auto const Wait = Got.Fields_.find("retry-after");
      auto const Left = Until - nowMs();
      sleepMs(std::min(Wait == Got.Fields_.end()
                           ? 0.0
                           : std::atof(Wait->second.c_str()) * 1000,
                       Left / 3));
    }
    Into_.add("sent at " + milliseconds(Tried.AtMs_) + ":" + Story);
    std::lock_guard const Lock(Mutex_);
    Sent_.push_back(Tried);
  }

  Answer attempt(double LeftMs, std::string &Story) {
    auto const Machine = Machines_.next();
    Connection Over;
    if (LeftMs < 10 || !Machine || !Over.open(*Machine, Entry::Port)) {
      Story += " no connection;";
      return {};
    }
    Request Asked;
    Asked.Id_ = nextId();
    Asked.Method_ = "GET";
    Asked.Path_ = "/status/" + Asked.Id_;
    Asked.DeadlineMs_ = LeftMs;
    Asked.Extra_["X-Token-Counts"] =
        std::to_string(Case_.TokensPerRequest_ - 100) + ",100";
    auto Got = exchange(Over, Asked);
    Story += ' ' + Asked.Id_ + " at " + *Machine + " got " +
             std::to_string(Got.Status_) + ';';
    return Got;
  }

  FleetCase const &Case_;
  Rotation &Machines_;
  Record &Into_;
  double BeganAt_ = 0;
  std::atomic<int> Next_ = 0;
  std::atomic<bool> IsStopped_ = false;
  std::vector<std::thread> Threads_;
  std::mutex Mutex_;
  std::vector<Sent> Sent_;
};

class Player {
public:
  Player(FleetCase const &Case, Record &Into)
      : Case_(Case), Into_(Into), Load_(Case, Rotation_, Into) {}

  int play() {
    if (!startStandins())
      return 2;
    bool const HasRun = startMachines() && playLoad();
    Machines_.clear();
    for (auto const &Each : Runners_)
      Each->stop();
    Platform_.stop();
    return HasRun ? judge() : 2;
  }

private:
  bool startStandins() {
    if (!Platform_.start())
      return false;
    auto Configured = configuration(
        1, Json::array({route("/status/", "idempotent", "desk", 2000, 500, 2)}),
        {"desk"});
    auto const Limit = static_cast<std::int64_t>(Case_.RequestsPerSecond_ *
                                                 Case_.TokensPerRequest_ *
                                                 Case_.QuotaOfUsual_);
    auto &Tenant = Configured["tenants"][0];
    Tenant["unit"] = "tokens";
    Tenant["plain_tokens"] = 200;
    Tenant["rate_per_s"] = Limit;
    Tenant["burst"] = Limit;
    Platform_.put("config", "main", Configured);
    for (int Number = 0; Number < Runners; ++Number) {
      Runners_.push_back(std::make_unique<Runner>(
          Platform_, "i-" + std::to_string(Number), "desk", Slots,
          [](Runner &Self, Message const &Asked, Connection &To) {
            sleepMs(WorkMs);
            std::string const Body(800, 'x');
            return To.send(Self.head(Asked) + "Content-Length: 800\r\n\r\n" +
                           Body);
          }));
      if (!Runners_.back()->start())
        return false;
    }
    return true;
  }

  bool startMachines() {
    for (unsigned Number = 0; Number < Case_.Machines_; ++Number)
      startNew();
    return std::all_of(Machines_.begin(), Machines_.end(),
                       [this](auto const &Machine) { return join(*Machine); });
  }

  Entry &startNew() {
    Machines_.push_back(std::make_unique<Entry>(Started_++, Platform_.port()));
    Machines_.back()->start();
    return *Machines_.back();
  }

  bool join(Entry const &Machine) {
    if (!Machine.awaitReady())
      return false;
    Rotation_.add(Machine.address());
    return true;
  }

  void kill(Entry &Machine) {
    Rotation_.remove(Machine.address());
    Machine.signal(SIGKILL);
    while (!Machine.hasEnded())
      sleepMs(1);
  }

  /// Removes the machine that is there for the longest time, and starts a new
  /// one at another address.
  bool replaceOne() {
    kill(*Machines_.front());
    Into_.add("machine " + Machines_.front()->address() + " is removed");
    Machines_.erase(Machines_.begin());
    sleepMs(Case_.ReplaceAfterMs_);
    auto const &Added = startNew();
    Into_.add("machine " + Added.address() + " is added");
    return join(Added);
  }

  bool playLoad() {
    Load_.start();
    LoadFrom_ = nowMs();
    sleepMs(Case_.CalmMs_);
    auto Due = nowMs();
    for (unsigned Each = 0; Each < Case_.Replaced_; ++Each) {
      if (hasRemovals() && !replaceOne()) {
        Load_.stop();
        return false;
      }
      Due += Case_.ReplaceEveryMs_;
      sleepMs(Due - nowMs());
    }
    FaultAt_ = nowMs();
    bool const AreBack = !hasFinalFault() || playFinalFault();
    BackAt_ = nowMs();
    sleepMs(Case_.RecoveryMs_ + Case_.JudgedMs_);
    Load_.stop();
    return AreBack;
  }

  bool playFinalFault() {
    for (auto const &Machine : Machines_)
      Machine->signal(SIGKILL);
    for (auto const &Machine : Machines_)
      kill(*Machine);
    Into_.add("all processes are killed");
    sleepMs(Case_.DownMs_);
    if (hasRemovals())
      Machines_.resize(Machines_.size() - Case_.Gone_);
    for (auto const &Machine : Machines_)
      Machine->start();
    bool const AreBack =
        std::all_of(Machines_.begin(), Machines_.end(),
                    [this](auto const &Machine) { return join(*Machine); });
    Into_.add("the machines are back");
    return AreBack;
  }

  int judge() {
    auto const [Before, ServedBefore] = Load_.count(LoadFrom_, FaultAt_);
    auto const From = BackAt_ + Case_.RecoveryMs_;
    auto const [After, ServedAfter] = Load_.count(From, From + Case_.JudgedMs_);
    auto const Summary = "before the final fault " +
                         std::to_string(ServedBefore) + " of " +
                         std::to_string(Before) +
                         " requests were served; later than 12 s after the "
                         "machines were back " +
                         std::to_string(ServedAfter) + " of " +
                         std::to_string(After) + " (a quarter is the least)";
    Into_.add(Summary);
    std::puts(Summary.c_str());
    if (Before == 0 || After == 0 || ServedBefore < LeastServed * Before)
      return 2;
    return ServedAfter < LeastServed * After ? 1 : 0;
  }

  FleetCase const &Case_;
  Record &Into_;
  Rotation Rotation_;
  Load Load_;
  Store Platform_;
  std::vector<std::unique_ptr<Runner>> Runners_;
  std::vector<std::unique_ptr<Entry>> Machines_;
  unsigned Started_ = 0;
  double LoadFrom_ = 0;
  double FaultAt_ = 0;
  double BackAt_ = 0;
};

} // namespace

int play(FleetCase const &Case, Record &Into) {
  return Player(Case, Into).play();
}

} // namespace review
