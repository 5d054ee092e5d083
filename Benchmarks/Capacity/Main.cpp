#include "ClaimModel.h"
#include "FleetModel.h"
#include "HeapMeter.h"

#include <cstdio>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace laburnum;
using namespace laburnum::bench;

namespace {

constexpr std::uint64_t Seed = 1;
constexpr Duration WarmUp = std::chrono::seconds(40);
constexpr Duration Measured = std::chrono::seconds(30);
constexpr Duration Step = std::chrono::milliseconds(50);
constexpr double Percent = 100.0;
constexpr FleetShape DesignShape{410, 650, 8};

double secondsOf(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

void printSteadyHead() {
  std::puts("Steady state, for each node: peers' bytes a second (frames, and "
            "with TCP/IP), messages and\nnew connections a second, platform "
            "bytes a second, share of a core by kind of work, heap.");
  std::puts("members servers | frame_B/s wire_B/s  msg/s conn/s | plat_B/s | "
            "member%  config%  servers%  codec%   list%   total% | heap_KiB | "
            "fleet's platform calls/s");
}

/// Measures a fleet in the steady state and prints one row.
void runSteady(FleetShape Shape) {
  FleetModel Fleet(Shape, Seed);
  Fleet.runFor(WarmUp);
  Fleet.resetCounters();
  Fleet.runFor(Measured);
  auto const Span = secondsOf(Measured);
  auto const PerNode = Span * Shape.Members_;
  auto const &Wire = Fleet.wire();
  auto const &Cpu = Fleet.cpu();
  auto const Share = [&](Work Kind) {
    return Percent * Cpu.seconds(Kind) / PerNode;
  };
  auto const Platform = Fleet.platform().counters();
  auto const Frames = static_cast<double>(Wire.FrameBytes_) / PerNode;
  auto const All = static_cast<double>(Wire.FrameBytes_ + Wire.OverheadBytes_);
  auto const Total = Percent * Cpu.total() / PerNode;
  auto const Messages = static_cast<double>(Wire.Messages_) / PerNode;
  auto const Connections = static_cast<double>(Wire.Connections_) / PerNode;
  auto const Calls = static_cast<double>(Platform.Reads_) / Span;
  auto const PlatformBytes = static_cast<double>(Platform.Bytes_) / PerNode;
  auto const Before = heapBytes();
  for (auto const &Node : Fleet.nodes()) {
    Node->stop();
    Node->releaseCores();
  }
  auto const Heap = static_cast<double>(Before - heapBytes()) / Shape.Members_;
  std::printf("%7u %7u | %9.0f %8.0f %6.2f %6.2f | %8.0f | %7.4f %8.4f %9.4f "
              "%7.4f %7.4f %8.4f | %8.0f | %6.0f\n",
              Shape.Members_, Shape.Servers_, Frames, All / PerNode, Messages,
              Connections, PlatformBytes, Share(Work::Membership),
              Share(Work::Configuration), Share(Work::Servers),
              Share(Work::Codec), Share(Work::InstanceList), Total,
              Heap / 1024.0, Calls);
  std::fflush(stdout);
}

/// Seconds until Condition holds, checked every Step; nullopt after Limit.
template <typename Call>
std::optional<double> timeUntil(FleetModel &Fleet, Duration Limit,
                                Call Condition) {
  auto const Start = Fleet.now();
  while (!Condition()) {
    if (Fleet.now() - Start >= Limit)
      return std::nullopt;
    Fleet.runFor(Step);
  }
  return secondsOf(Fleet.now() - Start);
}

void printTime(char const *What, std::optional<double> Seconds) {
  if (Seconds)
    std::printf("  %-66s %6.2f s\n", What, *Seconds);
  else
    std::printf("  %-66s never\n", What);
  std::fflush(stdout);
}

/// The longest time in seconds until a change is in force everywhere, of
/// several changes; nullopt if one is not in time.
std::optional<double> slowestChange(FleetModel &Fleet,
                                    std::set<DataCentre> const &Except) {
  constexpr std::uint32_t Changes = 10;
  constexpr Duration Limit = std::chrono::seconds(120);
  double Slowest = 0;
  for (std::uint32_t Number = 0; Number < Changes; ++Number) {
    auto const Object = Fleet.changeService(100 + Number);
    auto const Time = timeUntil(
        Fleet, Limit, [&] { return Fleet.isInForce(Object, Except); });
    if (!Time)
      return std::nullopt;
    Slowest = std::max(Slowest, *Time);
    Fleet.runFor(std::chrono::seconds(3));
  }
  return Slowest;
}

void runChanges(FleetShape Shape) {
  std::printf("\nA change in force everywhere, the slowest of 10 (%u members, "
              "goal 8 s)\n",
              Shape.Members_);
  constexpr double Loss = 0.05;
  FleetModel Fleet(Shape, Seed);
  Fleet.runFor(WarmUp);
  printTime("platform up", slowestChange(Fleet, {}));
  Fleet.setLoss(Loss);
  printTime("platform up, 5% of messages lost", slowestChange(Fleet, {}));
  Fleet.setLoss(0);
  Fleet.platform().setDown(true);
  Fleet.runFor(std::chrono::seconds(5));
  printTime("by peers only, the platform down after the write",
            slowestChange(Fleet, {}));
  Fleet.setLoss(Loss);
  printTime("by peers only, 5% of messages lost", slowestChange(Fleet, {}));
  Fleet.setLoss(0);
  Fleet.platform().setDown(false);
  Fleet.runFor(WarmUp);
  auto const Lost = Fleet.dataCentre(1);
  Fleet.partition(Lost);
  printTime("elsewhere, just after a data centre was cut off",
            slowestChange(Fleet, {Lost}));
  auto const Object = Fleet.changeService(200);
  Fleet.runFor(std::chrono::seconds(60));
  Fleet.heal();
  printTime("in the cut data centre, after the cut has healed",
            timeUntil(Fleet, std::chrono::minutes(10),
                      [&] { return Fleet.isInForce(Object, {}); }));
  printTime("all members known as live again, after that",
            timeUntil(Fleet, std::chrono::minutes(20),
                      [&] { return Fleet.isConverged(); }));
}

/// The highest loads of one second while a fleet converges.
struct Peak {
  double WireBytesPerNode_ = 0;
  double PlatformCalls_ = 0;
  double PlatformBytes_ = 0;
  double CpuShare_ = 0;
};

std::optional<double> awaitConvergence(FleetModel &Fleet, Peak &Worst) {
  constexpr Duration Second = std::chrono::seconds(1);
  constexpr Duration Limit = std::chrono::minutes(5);
  auto const Start = Fleet.now();
  while (!Fleet.isConverged()) {
    if (Fleet.now() - Start >= Limit)
      return std::nullopt;
    Fleet.resetCounters();
    Fleet.runFor(Second);
    auto const Live = static_cast<double>(Fleet.live());
    auto const &Wire = Fleet.wire();
    auto const &Platform = Fleet.platform().counters();
    auto const Bytes =
        static_cast<double>(Wire.FrameBytes_ + Wire.OverheadBytes_);
    Worst.WireBytesPerNode_ = std::max(Worst.WireBytesPerNode_, Bytes / Live);
    Worst.PlatformCalls_ =
        std::max(Worst.PlatformCalls_, static_cast<double>(Platform.Reads_));
    Worst.PlatformBytes_ =
        std::max(Worst.PlatformBytes_, static_cast<double>(Platform.Bytes_));
    Worst.CpuShare_ =
        std::max(Worst.CpuShare_, Percent * Fleet.cpu().total() / Live);
  }
  return secondsOf(Fleet.now() - Start);
}

void printPeak(char const *What, std::optional<double> Seconds,
               Peak const &Worst) {
  printTime(What, Seconds);
  std::printf("    in its worst second: %.0f wire B a node, %.2f%% of a core "
              "a node, %.0f platform calls, %.1f MB from the platform\n",
              Worst.WireBytesPerNode_, Worst.CpuShare_, Worst.PlatformCalls_,
              Worst.PlatformBytes_ / 1e6);
  std::fflush(stdout);
}

void runReplacement(FleetShape Shape, double Share, char const *What,
                    bool IsPlatformDown) {
  FleetModel Fleet(Shape, Seed);
  Fleet.runFor(WarmUp);
  Fleet.platform().setDown(IsPlatformDown);
  auto const Before = Fleet.live();
  Fleet.crashShare(Share);
  Fleet.addInstances(Before - Fleet.live());
  Peak Worst;
  auto const Time = awaitConvergence(Fleet, Worst);
  printPeak(What, Time, Worst);
}

void runReplacements(FleetShape Shape) {
  std::printf("\nReplacements at once, until all hold the configuration and "
              "know all members (%u members)\n",
              Shape.Members_);
  std::fflush(stdout);
  constexpr double Reclaimable = 0.66;
  runReplacement(Shape, 1.0 / Shape.DataCentres_, "an eighth replaced", false);
  runReplacement(Shape, Reclaimable, "66% replaced", false);
  runReplacement(Shape, Reclaimable, "66% replaced, the platform down", true);
}

void runColdStart(FleetShape Shape) {
  FleetModel Fleet(Shape, Seed);
  Peak Worst;
  auto const Time = awaitConvergence(Fleet, Worst);
  printPeak("all started at once", Time, Worst);
}

void runClaims(ClaimShape Shape) {
  constexpr Duration WarmUpTime = std::chrono::seconds(20);
  constexpr Duration Span = std::chrono::seconds(20);
  ClaimModel Model(Shape);
  Model.runFor(WarmUpTime);
  Model.reset();
  Model.runFor(Span);
  auto const &Counters = Model.counters();
  auto const Seconds = secondsOf(Span);
  auto const PerSecond = [&](std::uint64_t Count) {
    return static_cast<double>(Count) / Seconds;
  };
  auto const Granted = std::max(1.0, static_cast<double>(Counters.Granted_));
  std::printf("%9u %7.0f | %8.1f %7.1f %8.1f %9.1f | %7.1f %7.1f | %8.1f %7.1f "
              "%9.1f %7.1f\n",
              Shape.Instances_, Shape.ClaimsPerSecond_,
              PerSecond(Counters.Granted_), PerSecond(Counters.Writes_),
              PerSecond(Counters.Reads_), PerSecond(Counters.Conflicts_),
              1e-6 * PerSecond(Counters.WrittenBytes_),
              1e-6 * PerSecond(Counters.ReadBytes_),
              1e-3 * static_cast<double>(Counters.LargestBytes_),
              1e3 * secondsOf(Counters.TotalWait_) / Granted,
              1e6 * Model.cpuSeconds() / Granted, PerSecond(Counters.Refused_));
  std::fflush(stdout);
}

void runAllClaims(std::vector<std::uint32_t> const &Sizes) {
  std::puts("\nClaims of all instances together, 64 buckets, 20 s after 20 s "
            "(buckets still grow)");
  std::puts("instances claims/s | granted/s writes/s reads/s conflicts/s | "
            "MB/s written, read | largest_kB wait_ms cpu_us/claim refused/s");
  for (auto const Instances : Sizes)
    for (double const Rate : {10.0, 100.0, 300.0})
      runClaims({Instances, Rate, std::chrono::milliseconds(50)});
}

/// The selected parts and fleet sizes; empty means all.
struct Arguments {
  std::set<std::string> Parts_;
  std::set<std::uint32_t> Sizes_;

  bool has(std::string const &Part) const {
    return Parts_.empty() || Parts_.contains(Part);
  }
  bool has(std::uint32_t Size) const {
    return Sizes_.empty() || Sizes_.contains(Size);
  }
};

Arguments argumentsOf(int Count, char **Texts) {
  Arguments Selected;
  for (int Index = 1; Index < Count; ++Index) {
    std::string const Text = Texts[Index];
    if (Text.find_first_not_of("0123456789") == std::string::npos)
      Selected.Sizes_.insert(static_cast<std::uint32_t>(std::stoul(Text)));
    else
      Selected.Parts_.insert(Text);
  }
  return Selected;
}

} // namespace

int main(int Count, char **Texts) {
  auto const Selected = argumentsOf(Count, Texts);
  std::vector<std::uint32_t> Sizes;
  for (std::uint32_t const Size : {8U, 32U, 128U, 410U})
    if (Selected.has(Size))
      Sizes.push_back(Size);
  if (Selected.has("steady")) {
    printSteadyHead();
    for (auto const Size : Sizes)
      for (std::uint32_t const Servers : {65U, 650U})
        runSteady({Size, Servers, DesignShape.DataCentres_});
  }
  if (Selected.has("claims"))
    runAllClaims(Sizes);
  for (auto const Size : Sizes) {
    FleetShape const Shape{Size, DesignShape.Servers_,
                           DesignShape.DataCentres_};
    if (Selected.has("changes"))
      runChanges(Shape);
    if (Selected.has("herds")) {
      runReplacements(Shape);
      runColdStart(Shape);
    }
  }
}
