#include <LibTraffic/RouteMoves.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

bool isRecent(Duration At, Duration TimeOfDay) {
  return TimeOfDay - At < RouteMoves::RetentionTime;
}

} // namespace

void RouteMoves::setTable(std::shared_ptr<RouteTable const> Table,
                          Duration TimeOfDay) {
  if (Table_) {
    compare(*Table, TimeOfDay);
  } else {
    FirstVersion_ = Table->version();
    noteUnseen(NewestVersion_, TimeOfDay);
  }
  Table_ = std::move(Table);
  Moved_.ConfigurationVersion_ = Table_->version();
  NewestVersion_ = std::max(NewestVersion_, Table_->version());
  forgetOld(TimeOfDay);
}

void RouteMoves::compare(RouteTable const &Newer, Duration TimeOfDay) {
  // A longer prefix takes over the earlier moves of the shorter one, which no
  // longer accepts its requests.
  for (auto const &Route : Newer.routes())
    if (auto const At = movedAt(Route.Host_, Route.PathPrefix_))
      Moved_.Regions_[{normalizedHost(Route.Host_), Route.PathPrefix_}] = *At;
  for (auto const &Route : Newer.routes()) {
    auto const *const Before = Table_->match(Route.Host_, Route.PathPrefix_);
    if (Before && Before->Services_ != Route.Services_)
      Moved_.Regions_[{normalizedHost(Route.Host_), Route.PathPrefix_}] =
          TimeOfDay;
  }
  // A route that accepts the requests of a removed one later may lead
  // elsewhere.
  for (auto const &Route : Table_->routes()) {
    auto const *const After = Newer.match(Route.Host_, Route.PathPrefix_);
    if (!After || After->Services_ != Route.Services_)
      Moved_.Regions_[{normalizedHost(Route.Host_), Route.PathPrefix_}] =
          TimeOfDay;
  }
}

void RouteMoves::merge(MovedRoutes const &Recorded, Duration TimeOfDay) {
  // Nothing was ever recorded.
  if (Recorded.ConfigurationVersion_ == 0)
    return;
  NewestVersion_ = std::max(NewestVersion_, Recorded.ConfigurationVersion_);
  noteUnseen(Recorded.ConfigurationVersion_, TimeOfDay);
  if (Recorded.UnknownAt_)
    Moved_.UnknownAt_ =
        std::min(std::max(Moved_.UnknownAt_, Recorded.UnknownAt_),
                 std::optional(TimeOfDay));
  for (auto const &[Region, At] : Recorded.Regions_) {
    // What lies ahead comes from a clock that was wrong.
    auto &Known = Moved_.Regions_.try_emplace(Region, At).first->second;
    Known = std::min(std::max(Known, At), TimeOfDay);
  }
  forgetOld(TimeOfDay);
}

void RouteMoves::noteUnseen(std::uint64_t RecordedVersion, Duration TimeOfDay) {
  if (RecordedVersion == 0 || RecordedVersion >= FirstVersion_ ||
      HasNotedUnseen_)
    return;
  HasNotedUnseen_ = true;
  Moved_.UnknownAt_ = TimeOfDay;
}

bool RouteMoves::isTableOutdated() const {
  return Table_ && Table_->version() < NewestVersion_;
}

bool RouteMoves::isUnknown(Duration TimeOfDay) const {
  return isTableOutdated() ||
         (Moved_.UnknownAt_ && isRecent(*Moved_.UnknownAt_, TimeOfDay));
}

bool RouteMoves::hasAnyMoved(Duration TimeOfDay) const {
  return isUnknown(TimeOfDay) ||
         std::any_of(Moved_.Regions_.begin(), Moved_.Regions_.end(),
                     [&](auto const &Region) {
                       return isRecent(Region.second, TimeOfDay);
                     });
}

bool RouteMoves::hasMoved(std::string_view Host, std::string_view Target,
                          Duration TimeOfDay) const {
  if (isUnknown(TimeOfDay))
    return true;
  auto const At = movedAt(Host, Target);
  return At && isRecent(*At, TimeOfDay);
}

std::optional<Duration> RouteMoves::movedAt(std::string_view Host,
                                            std::string_view Target) const {
  if (Moved_.Regions_.empty())
    return std::nullopt;
  auto const Normalized = normalizedHost(Host);
  auto const *const InForce = Table_ ? Table_->match(Host, Target) : nullptr;
  auto const InForceLength = InForce ? InForce->PathPrefix_.size() : 0;
  std::optional<Duration> Last;
  for (auto const &[Region, At] : Moved_.Regions_)
    // A longer prefix that is in force has not moved with the shorter one.
    if (Region.Host_ == Normalized && Target.starts_with(Region.PathPrefix_) &&
        Region.PathPrefix_.size() >= InForceLength)
      Last = std::max(Last, std::optional(At));
  return Last;
}

void RouteMoves::forgetOld(Duration TimeOfDay) {
  std::erase_if(Moved_.Regions_, [&](auto const &Region) {
    return !isRecent(Region.second, TimeOfDay);
  });
  if (Moved_.UnknownAt_ && !isRecent(*Moved_.UnknownAt_, TimeOfDay))
    Moved_.UnknownAt_.reset();
}

} // namespace laburnum
