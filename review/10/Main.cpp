// A request crashes the only runner of its service, and comes again and again.
// The runner is back after three seconds, each time under another id.

#include "../standins-2/Standins.h"

#include <cstdio>
#include <memory>

using namespace review;

namespace {

constexpr unsigned Slots = 6;
constexpr unsigned Instances = 2;
constexpr double DownMs = 3000;
constexpr double ContactMs = 3000;
constexpr double EveryMs = 500; ///< How often the request comes again.
constexpr double OrdinaryEveryMs = 20;
constexpr double CalmMs = 3000;
constexpr double PlayedMs = 50000;
constexpr std::size_t CrashesUntilRefused = 3;
constexpr int Allowed = 3; ///< Retries, by the rule BUDGET.

class Play {
public:
  explicit Play(Record &Into) : Into_(Into) {}

  int run() {
    if (!Platform_.start())
      return 2;
    Platform_.put("config", "main",
                  configuration(1,
                                Json::array({route("/status/", "idempotent",
                                                   "desk", 2000, 500, 2)}),
                                {"desk"}));
    if (!startRunner() || !startInstances())
      return 2;
    std::thread Ordinary([this] { playOrdinary(); });
    std::thread Crashing([this] { playCrashing(); });
    Crashing.join();
    Ordinary.join();
    Instances_.clear();
    for (auto &Thread : Restarts_)
      Thread.join();
    Runner_->stop();
    Platform_.stop();
    return judge();
  }

private:
  bool startRunner() {
    Runner_ = std::make_unique<Runner>(
        Platform_, "i-1", "desk", Slots,
        [this](Runner &Self, Message const &Asked, Connection &To) {
          return serve(Self, Asked, To);
        });
    return Runner_->start();
  }

  bool startInstances() {
    for (unsigned Number = 0; Number < Instances; ++Number) {
      Instances_.push_back(std::make_unique<Entry>(Number, Platform_.port()));
      Instances_.back()->start();
    }
    for (auto const &Instance : Instances_)
      if (!Instance->awaitReady())
        return false;
    BeganAt_ = nowMs();
    return true;
  }

  bool serve(Runner const &Self, Message const &Asked, Connection &To) {
    if (Asked.Start_.find("/status/poison") != std::string::npos) {
      std::lock_guard const Lock(Mutex_);
      Into_.add(Self.id() + " begins " + Asked.Fields_.at("x-attempt-id") +
                " and crashes");
      Arrivals_.push_back(nowMs());
      Restarts_.emplace_back([this] { crash(); });
      To.reset();
      return false;
    }
    sleepMs(15);
    return To.send(Self.head(Asked) + "Content-Length: 2\r\n\r\nok");
  }

  void crash() {
    Runner_->stop();
    sleepMs(DownMs);
    Runner_->restart("i-" + std::to_string(++Starts_));
    Into_.add(Runner_->id() + " is there");
  }

  Answer send(unsigned Instance, std::string const &Path) {
    Connection Over;
    if (!Over.open(Instances_[Instance]->address(), Entry::Port))
      return {};
    Request Asked;
    Asked.Id_ = nextId();
    Asked.Method_ = "GET";
    Asked.Path_ = Path;
    return exchange(Over, Asked);
  }

  void playOrdinary() {
    for (unsigned Each = 0; nowMs() - BeganAt_ < PlayedMs; ++Each) {
      auto const Got =
          send(Each % Instances, "/status/" + std::to_string(Each));
      ++(Got.Status_ == 200 ? Served_ : Others_);
      sleepMs(OrdinaryEveryMs);
    }
  }

  void playCrashing() {
    sleepMs(CalmMs);
    if (!hasTrouble())
      return;
    for (unsigned Each = 0; nowMs() - BeganAt_ < PlayedMs; ++Each) {
      auto const Got = send(Each % Instances, "/status/poison");
      Into_.add("the crashing request got " + std::to_string(Got.Status_) +
                " at instance " + std::to_string(Each % Instances));
      sleepMs(EveryMs);
    }
  }

  int judge() {
    int Late = 0;
    if (Arrivals_.size() >= CrashesUntilRefused)
      for (auto const At : Arrivals_)
        Late += At > Arrivals_[CrashesUntilRefused - 1] + ContactMs ? 1 : 0;
    auto const Summary =
        "the request reached runners " + std::to_string(Arrivals_.size()) +
        " times, " + std::to_string(Late) +
        " of them later than 3 s after it had crashed the third (3 are "
        "allowed); ordinary requests: " +
        std::to_string(Served_) + " served, " + std::to_string(Others_) +
        " others";
    Into_.add(Summary);
    std::puts(Summary.c_str());
    if (Served_ == 0)
      return 2;
    return Late > Allowed ? 1 : 0;
  }

  Record &Into_;
  Store Platform_;
  std::unique_ptr<Runner> Runner_;
  std::atomic<int> Starts_ = 1;
  std::vector<std::unique_ptr<Entry>> Instances_;
  double BeganAt_ = 0;
  std::mutex Mutex_;
  std::vector<double> Arrivals_;
  std::vector<std::thread> Restarts_;
  std::atomic<int> Served_ = 0;
  std::atomic<int> Others_ = 0;
};

} // namespace

int main(int Count, char **Arguments) {
  limitRun();
  Record Into(Count > 1 ? Arguments[1] : "record.txt");
  return Play(Into).run();
}
