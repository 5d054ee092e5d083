#include <LibFleet/ListingPace.h>

#include <algorithm>

namespace laburnum {

namespace {

/// A list of up to 24 entries may be read every two seconds.
constexpr double EntriesPerSecond = 12.0;
constexpr double MinPauseSeconds = 2.0;
/// A pause is random between MinPauseFraction and 2 - MinPauseFraction times
/// the mean pause.
constexpr double MinPauseFraction = 0.5;

} // namespace

void ListingPace::listed(InstanceListing const &Listing, TimePoint Now) {
  auto const Entries = Listing.EntryInstances_.size() + Listing.Servers_.size();
  auto const Mean = static_cast<double>(Entries) / EntriesPerSecond;
  if (Mean <= MinPauseSeconds) {
    NextAt_ = Now;
    return;
  }
  std::uniform_real_distribution<double> Fraction(MinPauseFraction,
                                                  2 - MinPauseFraction);
  std::chrono::duration<double> const Pause(Mean * Fraction(Generator_));
  NextAt_ = Now + std::chrono::duration_cast<Duration>(Pause);
}

} // namespace laburnum
