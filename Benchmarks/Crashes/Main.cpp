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

/// Time within which all instances must be notified of the third crash.
constexpr Duration NotificationTime = std::chrono::seconds(3);
constexpr std::size_t CrashThreshold = 3;
/// Time that a server takes for a healthy request.
constexpr Duration Work = std::chrono::milliseconds(20);

struct Plan {
  unsigned Instances_ = 8;
  unsigned Servers_ = 24;
  Duration Downtime_{};
  Duration Length_{};
  double CrashingPerSecond_ = 0.0;
  double HealthyPerSecond_ = 0.0;
  std::size_t StoppedServers_ = 0; ///< Stopped at random within a second.
  unsigned Seed_ = 1;
};

/// Counts the answers to healthy requests by status.
class StatusCounts {
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
      std::cout << "healthy requests, status " << Status << ": " << Count
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

/// Calls Send once per Period until End.
template <typename Function>
void sendPeriodically(Duration Period, Clock::time_point End, Function Send) {
  for (auto Next = Clock::now(); Next < End; Next += Period) {
    std::this_thread::sleep_until(Next);
    Send();
  }
}

void sendCrashing(Plan const &Plan, EntryFleet &Fleet, Clock::time_point End) {
  if (Plan.CrashingPerSecond_ <= 0.0)
    return;
  std::size_t Next = 0;
  std::size_t Late = 0;
  std::optional<Clock::time_point> ThirdAt;
  sendPeriodically(period(Plan.CrashingPerSecond_), End, [&] {
    auto const Before = Fleet.crashingRequestsReceived();
    bool const IsLate = ThirdAt && Clock::now() - *ThirdAt > NotificationTime;
    Fleet.instance(Next++ % Fleet.instances()).send("GET", "/read/deadly");
    auto const After = Fleet.crashingRequestsReceived();
    if (IsLate)
      Late += After - Before;
    if (!ThirdAt && After >= CrashThreshold)
      ThirdAt = Clock::now();
  });
  std::cout << "crashing requests: " << Next
            << ", servers crashed: " << Fleet.crashingRequestsReceived()
            << ", late: " << Late << '\n';
}

void stopServers(Plan const &Plan, EntryFleet &Fleet) {
  if (Plan.StoppedServers_ == 0)
    return;
  std::vector<std::size_t> Numbers(Plan.Servers_);
  for (std::size_t Index = 0; Index < Numbers.size(); ++Index)
    Numbers[Index] = Index;
  std::shuffle(Numbers.begin(), Numbers.end(), std::mt19937(Plan.Seed_));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  for (std::size_t Index = 0; Index < Plan.StoppedServers_; ++Index) {
    Fleet.crashServer(Numbers[Index]);
    std::this_thread::sleep_for(std::chrono::seconds(1) / Plan.StoppedServers_);
  }
}

void runBenchmark(Plan const &Plan) {
  EntryFleet Fleet(Plan.Instances_, Plan.Servers_, {Plan.Downtime_, Work});
  StatusCounts Healthy;
  auto const End = Clock::now() + Plan.Length_;
  std::vector<std::thread> Callers;
  auto const PerCaller = Plan.HealthyPerSecond_ / Plan.Instances_;
  for (unsigned Index = 0; Index < Plan.Instances_; ++Index)
    Callers.emplace_back([&, Index] {
      sendPeriodically(period(PerCaller), End, [&] {
        Healthy.add(Fleet.instance(Index).send("GET", "/read/sound").Status_);
      });
    });
  std::thread FaultInjector([&] { stopServers(Plan, Fleet); });
  sendCrashing(Plan, Fleet, End);
  FaultInjector.join();
  for (auto &One : Callers)
    One.join();
  Healthy.print();
}

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Options("bench-crashes",
                           "Measures the answers that callers get while "
                           "servers crash, using real processes");
  auto Add = Options.add_options();
  Add("instances", "entry instances",
      cxxopts::value<unsigned>()->default_value("8"));
  Add("servers", "backend servers",
      cxxopts::value<unsigned>()->default_value("24"));
  Add("downtime-ms", "time until a crashed server restarts",
      cxxopts::value<unsigned>()->default_value("2000"));
  Add("seconds", "duration of the traffic",
      cxxopts::value<unsigned>()->default_value("12"));
  Add("deadly", "requests per second that crash their server",
      cxxopts::value<double>()->default_value("0"));
  Add("sound", "requests per second that do not",
      cxxopts::value<double>()->default_value("400"));
  Add("end", "number of servers that are stopped within a second",
      cxxopts::value<std::size_t>()->default_value("0"));
  Add("seed", "seed of the choice of stopped servers",
      cxxopts::value<unsigned>()->default_value("1"));
  Add("help", "print this");
  try {
    auto const Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help")) {
      std::cout << Options.help();
      return 0;
    }
    runBenchmark(
        {Parsed["instances"].as<unsigned>(), Parsed["servers"].as<unsigned>(),
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
