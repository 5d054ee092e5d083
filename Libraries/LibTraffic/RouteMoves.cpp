#include <LibTraffic/RouteMoves.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

bool isRecent(Duration At, Duration TimeOfDay) {
  return TimeOfDay - At < RouteMoves::RetentionTime;
}

/// Returns whether requests that both tables accept lead to other services.
bool leadsElsewhere(Route const *One, Route const *Other) {
  return One && Other && One->Services_ != Other->Services_;
}

} // namespace

void RouteMoves::setTable(std::shared_ptr<RouteTable const> Table,
                          Duration TimeOfDay) {
  if (Table_) {
    compare(*Table_, *Table, TimeOfDay);
    compare(*Table, *Table_, TimeOfDay);
  } else {
    FirstVersion_ = Table->version();
    noteUnseen(NewestVersion_, TimeOfDay);
  }
  Table_ = std::move(Table);
  Moved_.ConfigurationVersion_ = Table_->version();
  NewestVersion_ = std::max(NewestVersion_, Table_->version());
  forgetOld(TimeOfDay);
}

void RouteMoves::compare(RouteTable const &Older, RouteTable const &Newer,
                         Duration TimeOfDay) {
  for (auto const &Route : Newer.routes())
    if (leadsElsewhere(Older.match(Route.Host_, Route.PathPrefix_), &Route))
      Moved_.Regions_[{normalizedHost(Route.Host_), Route.PathPrefix_}] =
          TimeOfDay;
}

void RouteMoves::merge(MovedRoutes const &Recorded, Duration TimeOfDay) {
  // Nothing was ever recorded.
  if (Recorded.ConfigurationVersion_ == 0)
    return;
  NewestVersion_ = std::max(NewestVersion_, Recorded.ConfigurationVersion_);
  noteUnseen(Recorded.ConfigurationVersion_, TimeOfDay);
  for (auto const &[Region, At] : Recorded.Regions_) {
    // What lies ahead comes from a clock that was wrong.
    auto &Known = Moved_.Regions_.try_emplace(Region, At).first->second;
    Known = std::min(std::max(Known, At), TimeOfDay);
  }
  forgetOld(TimeOfDay);
}

void RouteMoves::noteUnseen(std::uint64_t RecordedVersion, Duration TimeOfDay) {
  if (RecordedVersion != 0 && RecordedVersion < FirstVersion_ && !UnknownAt_)
    UnknownAt_ = TimeOfDay;
}

bool RouteMoves::isTableOutdated() const {
  return Table_ && Table_->version() < NewestVersion_;
}

bool RouteMoves::hasAnyMoved(Duration TimeOfDay) const {
  return isTableOutdated() ||
         (UnknownAt_ && isRecent(*UnknownAt_, TimeOfDay)) ||
         std::any_of(Moved_.Regions_.begin(), Moved_.Regions_.end(),
                     [&](auto const &Region) {
                       return isRecent(Region.second, TimeOfDay);
                     });
}

bool RouteMoves::hasMoved(std::string_view Host, std::string_view Target,
                          Duration TimeOfDay) const {
  if (isTableOutdated() || (UnknownAt_ && isRecent(*UnknownAt_, TimeOfDay)))
    return true;
  auto const Normalized = normalizedHost(Host);
  auto const *const InForce = Table_ ? Table_->match(Host, Target) : nullptr;
  auto const InForceLength = InForce ? InForce->PathPrefix_.size() : 0;
  return std::any_of(
      Moved_.Regions_.begin(), Moved_.Regions_.end(), [&](auto const &Moved) {
        auto const &[Region, At] = Moved;
        // A longer prefix that is in force has not moved with the shorter one.
        return isRecent(At, TimeOfDay) && Region.Host_ == Normalized &&
               Target.starts_with(Region.PathPrefix_) &&
               Region.PathPrefix_.size() >= InForceLength;
      });
}

void RouteMoves::forgetOld(Duration TimeOfDay) {
  std::erase_if(Moved_.Regions_, [&](auto const &Region) {
    return !isRecent(Region.second, TimeOfDay);
  });
}

} // namespace laburnum
