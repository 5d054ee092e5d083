#include <LibFleet/ListingPace.h>

#include <algorithm>

namespace laburnum {

namespace {

/// A list of up to 24 entries is read every two seconds.
constexpr double EntriesPerSecond = 12.0;
constexpr double ShortestSeconds = 2.0;
/// A pause is between so many times the mean pause and the rest to two times.
constexpr double LeastShare = 0.5;

} // namespace

void ListingPace::listed(InstanceListing const &Listing, TimePoint Now) {
  auto const Entries = Listing.EntryInstances_.size() + Listing.Servers_.size();
  auto const Mean = static_cast<double>(Entries) / EntriesPerSecond;
  if (Mean <= ShortestSeconds) {
    NextAt_ = Now;
    return;
  }
  std::uniform_real_distribution<double> Share(LeastShare, 2 - LeastShare);
  std::chrono::duration<double> const Pause(Mean * Share(Generator_));
  NextAt_ = Now + std::chrono::duration_cast<Duration>(Pause);
}

} // namespace laburnum
