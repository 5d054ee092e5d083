#include "LoadPlan.h"

#include <random>

namespace laburnum {

static LoadKind pickKind(LoadSettings const &Settings,
                         std::mt19937_64 &Random) {
  std::uniform_real_distribution<double> Share(0, 1);
  bool const HasBoth = !Settings.Model_.empty() && !Settings.Service_.empty();
  if (Settings.Model_.empty() || (HasBoth && Share(Random) < 0.5))
    return LoadKind::Plain;
  return Share(Random) < Settings.LongShare_ ? LoadKind::Long : LoadKind::Short;
}

static std::vector<PlannedCall> planStreams(LoadSettings const &Settings) {
  std::vector<PlannedCall> Calls;
  for (std::uint32_t Number = 0; Number < Settings.Streams_; ++Number)
    Calls.push_back({Duration::zero(), LoadKind::Long, Number});
  return Calls;
}

std::vector<PlannedCall> planCalls(LoadSettings const &Settings) {
  if (Settings.Mode_ == LoadMode::Streams)
    return planStreams(Settings);
  std::mt19937_64 Random(Settings.Seed_);
  std::exponential_distribution<double> Pause(Settings.RatePerSecond_);
  std::vector<PlannedCall> Calls;
  for (double Start = Pause(Random); Start < Settings.Seconds_;
       Start += Pause(Random)) {
    auto const Offset = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Start));
    auto const Number = static_cast<std::uint32_t>(Calls.size());
    Calls.push_back({Offset, pickKind(Settings, Random), Number});
  }
  return Calls;
}

} // namespace laburnum
