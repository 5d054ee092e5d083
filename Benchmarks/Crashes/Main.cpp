#include <EntryProcess/EntryFleet.h>

#include <cxxopts.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <thread>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

using Clock = std::chrono::steady_clock;

/// The rule's time for instances to learn of the third crash.
constexpr Duration Contact = std::chrono::seconds(3);
constexpr std::size_t CrashesThatCount = 3;
/// How long a sound request takes at a server.
constexpr Duration Work = std::chrono::milliseconds(20);

struct Plan {
  unsigned Instances_ = 8;
  unsigned Servers_ = 24;
  Duration Downtime_{};
  Duration Length_{};
  double DeadlyPerSecond_ = 0.0;
  double SoundPerSecond_ = 0.0;
  std::size_t Ended_ = 0; ///< Servers ended at random, within a second.
  unsigned Seed_ = 1;
};

/// What sound requests got, by status.
class Tally {
public:
  void add(int Status) {
    std::lock_guard const Lock(Mutex_);
    ++Counts_[Status];
  }
  void print() const {
    std::size_t Sum = 0;
    for (auto const &[Status, Count] : Counts_)
      Sum += Count;
    for (auto const &[Status, Count] : Counts_)
      std::cout << "sound requests, status " << Status << ": " << Count
                << " of " << Sum << '\n';
  }

private:
  std::mutex Mutex_;
  std::map<int, std::size_t> Counts_;
};

Duration period(double PerSecond) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1.0 / PerSecond));
}

/// Calls Send at fixed times until End.
template <typename Function>
void sendEach(Duration Period, Clock::time_point End, Function Send) {
  for (auto Next = Clock::now(); Next < End; Next += Period) {
    std::this_thread::sleep_until(Next);
    Send();
  }
}

void sendDeadly(Plan const &Plan, EntryFleet &Fleet, Clock::time_point End) {
  if (Plan.DeadlyPerSecond_ <= 0.0)
    return;
  std::size_t Next = 0;
  std::size_t Late = 0;
  std::optional<Clock::time_point> ThirdAt;
  sendEach(period(Plan.DeadlyPerSecond_), End, [&] {
    auto const Before = Fleet.crashingRequestsReceived();
    bool const IsLate = ThirdAt && Clock::now() - *ThirdAt > Contact;
    Fleet.instance(Next++ % Fleet.instances()).send("GET", "/read/deadly");
    auto const After = Fleet.crashingRequestsReceived();
    if (IsLate)
      Late += After - Before;
    if (!ThirdAt && After >= CrashesThatCount)
      ThirdAt = Clock::now();
  });
  std::cout << "deadly requests: " << Next
            << ", servers ended: " << Fleet.crashingRequestsReceived()
            << ", late: " << Late << '\n';
}

void endServers(Plan const &Plan, EntryFleet &Fleet) {
  if (Plan.Ended_ == 0)
    return;
  std::vector<std::size_t> Numbers(Plan.Servers_);
  for (std::size_t Each = 0; Each < Numbers.size(); ++Each)
    Numbers[Each] = Each;
  std::shuffle(Numbers.begin(), Numbers.end(), std::mt19937(Plan.Seed_));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  for (std::size_t Each = 0; Each < Plan.Ended_; ++Each) {
    Fleet.crashServer(Numbers[Each]);
    std::this_thread::sleep_for(std::chrono::seconds(1) / Plan.Ended_);
  }
}

void play(Plan const &Plan) {
  EntryFleet Fleet(Plan.Instances_, Plan.Servers_, {Plan.Downtime_, Work});
  Tally Sound;
  auto const End = Clock::now() + Plan.Length_;
  std::vector<std::thread> Callers;
  auto const PerCaller = Plan.SoundPerSecond_ / Plan.Instances_;
  for (unsigned Each = 0; Each < Plan.Instances_; ++Each)
    Callers.emplace_back([&, Each] {
      sendEach(period(PerCaller), End, [&] {
        Sound.add(Fleet.instance(Each).send("GET", "/read/sound").Status_);
      });
    });
  std::thread Breaker([&] { endServers(Plan, Fleet); });
  sendDeadly(Plan, Fleet, End);
  Breaker.join();
  for (auto &One : Callers)
    One.join();
  Sound.print();
}

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Options("bench-crashes",
                           "What callers get while servers end, by a request "
                           "or by themselves, before real processes");
  auto Add = Options.add_options();
  Add("instances", "entry instances",
      cxxopts::value<unsigned>()->default_value("8"));
  Add("servers", "backend servers",
      cxxopts::value<unsigned>()->default_value("24"));
  Add("downtime-ms", "from a server's end to its next life",
      cxxopts::value<unsigned>()->default_value("2000"));
  Add("seconds", "how long requests come",
      cxxopts::value<unsigned>()->default_value("12"));
  Add("deadly", "requests a second that end their server",
      cxxopts::value<double>()->default_value("0"));
  Add("sound", "requests a second that do not",
      cxxopts::value<double>()->default_value("400"));
  Add("end", "servers that end within a second",
      cxxopts::value<std::size_t>()->default_value("0"));
  Add("seed", "chooses these servers",
      cxxopts::value<unsigned>()->default_value("1"));
  Add("help", "print this");
  try {
    auto const Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help")) {
      std::cout << Options.help();
      return 0;
    }
    play({Parsed["instances"].as<unsigned>(), Parsed["servers"].as<unsigned>(),
          std::chrono::milliseconds(Parsed["downtime-ms"].as<unsigned>()),
          std::chrono::seconds(Parsed["seconds"].as<unsigned>()),
          Parsed["deadly"].as<double>(), Parsed["sound"].as<double>(),
          Parsed["end"].as<std::size_t>(), Parsed["seed"].as<unsigned>()});
  } catch (std::exception const &Failure) {
    std::cerr << "bench-crashes: " << Failure.what() << '\n';
    return 1;
  }
  return 0;
}
