#include "Schedule.h"

#include <algorithm>
#include <array>
#include <random>

namespace laburnum::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::array Names = {
    "kill", "stop",        "freeze", "end_server", "silent",
    "busy", "lose_writes", "forget", "configure",  "limit_server"};
/// Kinds drawn from the seed's first generator, whose schedules must not change
/// when a kind is added.
constexpr std::size_t FirstKinds = 9;
constexpr std::array RateLimits = {"0.4", "2.2", "6", "0", "several"};
constexpr milliseconds MinLimitLength{8000};
constexpr milliseconds MaxLimitPause{5000};
constexpr milliseconds MaxPause{1500};
constexpr milliseconds MaxFaultLength{3000};

bool isAtInstance(FaultKind Kind) { return Kind <= FaultKind::FreezeInstance; }

void addRateLimits(std::vector<Fault> &Schedule, std::uint64_t Seed,
                   Duration Length, std::size_t Servers) {
  std::mt19937_64 Generator(~Seed);
  auto const Below = [&](std::uint64_t Bound) { return Generator() % Bound; };
  for (Duration At = milliseconds(500);
       At + MinLimitLength <= Length - FaultFreeTime;
       At += milliseconds(500 + Below(MaxLimitPause.count()))) {
    Fault Next;
    Next.At_ = At;
    Next.Kind_ = FaultKind::LimitServer;
    Next.Target_ = Below(Servers);
    Next.Length_ = std::min<Duration>(
        MinLimitLength + milliseconds(Below(MinLimitLength.count())),
        Length - FaultFreeTime - At);
    Schedule.push_back(Next);
  }
  std::stable_sort(Schedule.begin(), Schedule.end(),
                   [](Fault const &Left, Fault const &Right) {
                     return Left.At_ < Right.At_;
                   });
}

} // namespace

std::vector<Fault> makeSchedule(std::uint64_t Seed, Duration Length,
                                std::size_t Instances, std::size_t Servers) {
  std::mt19937_64 Generator(Seed);
  auto const Below = [&](std::uint64_t Bound) { return Generator() % Bound; };
  std::vector<Fault> Schedule;
  for (Duration At = milliseconds(500); At < Length - FaultFreeTime;
       At += milliseconds(50 + Below(MaxPause.count()))) {
    Fault Next;
    Next.At_ = At;
    Next.Kind_ = static_cast<FaultKind>(Below(FirstKinds));
    Next.Target_ = Below(isAtInstance(Next.Kind_) ? Instances : Servers);
    Next.Length_ =
        std::min<Duration>(milliseconds(200 + Below(MaxFaultLength.count())),
                           Length - FaultFreeTime - At);
    Schedule.push_back(Next);
  }
  addRateLimits(Schedule, Seed, Length, Servers);
  return Schedule;
}

std::string rateLimitOf(Fault const &One) {
  return RateLimits[(One.Target_ +
                     static_cast<std::size_t>(One.Length_.count())) %
                    RateLimits.size()];
}

std::string describe(Fault const &One) {
  auto const Milliseconds = [](Duration Time) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(Time).count());
  };
  return Milliseconds(One.At_) + " ms " +
         Names[static_cast<std::size_t>(One.Kind_)] + ' ' +
         std::to_string(One.Target_) + " for " + Milliseconds(One.Length_) +
         " ms";
}

} // namespace laburnum::soak
