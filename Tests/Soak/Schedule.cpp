#include "Schedule.h"

#include <algorithm>
#include <array>
#include <random>

namespace laburnum::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::array Names = {"kill",        "stop",   "freeze",
                              "end_server",  "silent", "busy",
                              "lose_writes", "forget", "configure"};
constexpr milliseconds MaxPause{1500};
constexpr milliseconds MaxFaultLength{3000};

bool isAtInstance(FaultKind Kind) { return Kind <= FaultKind::FreezeInstance; }

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
    Next.Kind_ = static_cast<FaultKind>(Below(Names.size()));
    Next.Target_ = Below(isAtInstance(Next.Kind_) ? Instances : Servers);
    Next.Length_ =
        std::min<Duration>(milliseconds(200 + Below(MaxFaultLength.count())),
                           Length - FaultFreeTime - At);
    Schedule.push_back(Next);
  }
  return Schedule;
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
