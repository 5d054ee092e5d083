#include <LibControl/OriginHistory.h>

#include <LibControl/OriginHistoryCodec.h>
#include <LibCore/Hash.h>

#include <algorithm>

namespace laburnum {

using namespace detail;

namespace {

constexpr std::chrono::milliseconds StoreTimeout{1500};
constexpr std::chrono::seconds PauseAfterFailure{1};
/// Added for instances that keep no history, which fail together.
constexpr std::chrono::milliseconds PausePerInstance{50};
/// How long streams begin by a configuration that others have replaced.
constexpr std::chrono::seconds MaxTableLag{10};
/// Within which instances notice the same move, by clocks that differ.
constexpr std::chrono::seconds SameMoveTime{3};
/// Streams may begin for this long at a version whose last server has left the
/// list elsewhere, so that clients have given them up before it is forgotten.
constexpr std::chrono::seconds BeginTimeAfterLeft{10};
/// How old the record of an unidentified server's last stream may become.
constexpr std::chrono::seconds UnidentifiedRecordAge{8};
/// After this time, and a part of the other for each instance, an instance
/// that keeps no history writes a version that is missing.
constexpr std::chrono::seconds MaxListedDelay{1};
constexpr std::chrono::milliseconds ListedDelayPerInstance{20};

/// Returns whether all versions that are listed in One are listed in Other.
bool coversListed(VersionHistory const &One, VersionHistory const &Other) {
  for (auto const &[Service, Versions] : One)
    for (auto const &[Version, LeftAt] : Versions) {
      if (LeftAt)
        continue;
      auto const Found = Other.find(Service);
      if (Found == Other.end())
        return false;
      auto const Listed = Found->second.find(Version);
      if (Listed == Found->second.end() || Listed->second)
        return false;
    }
  return true;
}

/// Returns whether the region has moved in Moved, too, and not much earlier: a
/// later move may lead elsewhere.
bool coversRegion(std::pair<RouteRegion const, Duration> const &Region,
                  MovedRoutes const &Moved) {
  auto const Found = Moved.Regions_.find(Region.first);
  return Found != Moved.Regions_.end() &&
         Found->second + SameMoveTime >= Region.second;
}

bool coversRegions(MovedRoutes const &One, MovedRoutes const &Other) {
  return std::all_of(
      One.Regions_.begin(), One.Regions_.end(),
      [&](auto const &Region) { return coversRegion(Region, Other); });
}

/// Returns when the last stream began at an unidentified server.
std::optional<Duration> unidentifiedAt(ServiceVersions const &Versions) {
  auto const Found = Versions.find(UnidentifiedVersion);
  return Found == Versions.end() ? std::nullopt : Found->second;
}

} // namespace

void OriginHistory::setTime(Duration TimeOfDay, TimePoint Now) {
  TimeOfDay_ = TimeOfDay;
  Now_ = Now;
}

void OriginHistory::setListed(std::vector<ServerRecord> const &Servers) {
  IsListed_ = true;
  Versions_.setListed(Servers, TimeOfDay_);
  update();
}

void OriginHistory::setTable(std::shared_ptr<RouteTable const> Table) {
  Moves_.setTable(std::move(Table), TimeOfDay_);
  update();
}

void OriginHistory::setRole(Role Role) {
  // Another may have kept it meanwhile.
  if (std::exchange(Role_, Role) != Role)
    Recorded_.reset();
  update();
}

void OriginHistory::onUnidentified(ServiceName const &Service) {
  Versions_.onUnidentified(Service, TimeOfDay_);
  update();
}

void OriginHistory::setStreams(bool HasStreams) {
  HasStreams_ = HasStreams;
  update();
}

void OriginHistory::onStoreRestored() {
  Recorded_.reset();
  LastReadVersion_ = 0;
  DistrustedUntil_ = Now_ + SoftwareVersions::RetentionTime;
  update();
}

void OriginHistory::apply(StoredObject const &Object, Recorded &Into) {
  if (Object.Key_ == versionsKey() &&
      Object.Version_ >= Into.VersionsVersion_) {
    Into.VersionsVersion_ = Object.Version_;
    Into.Versions_ = decodeVersions(Object.Value_);
  } else if (Object.Key_ == movesKey() &&
             Object.Version_ >= Into.MovesVersion_) {
    Into.MovesVersion_ = Object.Version_;
    Into.Moves_ = decodeMoves(Object.Value_);
  }
}

void OriginHistory::onListed(ObjectList const &Listed) {
  // A read and an update from another instance may overtake each other.
  if (Listed.StoreVersion_ < LastReadVersion_)
    return;
  LastReadVersion_ = Listed.StoreVersion_;
  LastRead_ = {};
  for (auto const &Object : Listed.Objects_)
    apply(Object, LastRead_);
  Recorded_ = LastRead_;
  WasRead_ = true;
  onLastReadChanged();
}

void OriginHistory::onChanged(std::vector<StoredObject> const &Objects) {
  for (auto const &Object : Objects) {
    apply(Object, LastRead_);
    if (Recorded_)
      apply(Object, *Recorded_);
    LastReadVersion_ = std::max(LastReadVersion_, Object.Version_);
  }
  onLastReadChanged();
}

void OriginHistory::onLastReadChanged() {
  Versions_.merge(LastRead_.Versions_, TimeOfDay_);
  Moves_.merge(LastRead_.Moves_, TimeOfDay_);
  update();
}

void OriginHistory::read(Duration Timeout,
                         std::function<void(bool IsRead)> const &Then) {
  Store_.list(
      HistoryCollection, ReadConsistency::Latest, Timeout,
      [Self = shared_from_this(), Then](Result<ObjectList> const &Read) {
        if (!isError(Read))
          Self->onListed(valueOf(Read));
        Then(!isError(Read));
      });
}

bool OriginHistory::lacksListed() const {
  return !coversListed(Versions_.history(), LastRead_.Versions_);
}

bool OriginHistory::lacksUnidentified() const {
  auto const &Known = LastRead_.Versions_;
  return std::any_of(Versions_.history().begin(), Versions_.history().end(),
                     [&](auto const &Service) {
                       auto const Local = unidentifiedAt(Service.second);
                       if (!Local)
                         return false;
                       auto const Found = Known.find(Service.first);
                       auto const Stored = Found == Known.end()
                                               ? std::nullopt
                                               : unidentifiedAt(Found->second);
                       return !Stored ||
                              *Local - *Stored >= UnidentifiedRecordAge;
                     });
}

bool OriginHistory::isListedOverdue() const {
  auto const Place = stableHash(Name_) % std::max<std::size_t>(Live_, 1);
  return LacksListedSince_ &&
         Now_ - *LacksListedSince_ >=
             MaxListedDelay +
                 ListedDelayPerInstance * static_cast<std::int64_t>(Place);
}

bool OriginHistory::areVersionsOutdated() const {
  return lacksListed() ||
         !coversListed(LastRead_.Versions_, Versions_.history());
}

bool OriginHistory::areMovesOutdated() const {
  auto const &Known = Moves_.moved();
  return LastRead_.Moves_.ConfigurationVersion_ < Known.ConfigurationVersion_ ||
         !coversRegions(Known, LastRead_.Moves_);
}

bool OriginHistory::owesMoves() const {
  return HasStreams_ && Moves_.hasAnyMoved(TimeOfDay_) &&
         (!Recorded_ || areMovesOutdated());
}

bool OriginHistory::owes() const {
  if (!IsListed_)
    return false;
  if (!WasRead_ || owesMoves() || lacksUnidentified() || isListedOverdue())
    return true;
  return Role_ == Role::Keeps &&
         (!Recorded_ || areVersionsOutdated() || areMovesOutdated());
}

bool OriginHistory::isBusy() const {
  return owes() || LacksListedSince_ || TableOutdatedSince_ ||
         isStoreDistrusted();
}

Duration OriginHistory::pauseAfterFailure() const {
  if (Role_ == Role::Keeps)
    return PauseAfterFailure;
  return PauseAfterFailure +
         PausePerInstance * static_cast<std::int64_t>(Live_);
}

void OriginHistory::update() {
  if (!lacksListed())
    LacksListedSince_.reset();
  else if (!LacksListedSince_)
    LacksListedSince_ = Now_;
  if (!Moves_.isTableOutdated())
    TableOutdatedSince_.reset();
  else if (!TableOutdatedSince_)
    TableOutdatedSince_ = Now_;
  publish();
  if (!owes() || IsCallOpen_ || Now_ < NextCallAt_)
    return;
  if (!Recorded_) {
    IsCallOpen_ = true;
    return read(StoreTimeout, [Self = shared_from_this()](bool IsRead) {
      Self->IsCallOpen_ = false;
      if (!IsRead)
        Self->NextCallAt_ = Self->Now_ + Self->pauseAfterFailure();
      else
        Self->update();
    });
  }
  if (areMovesOutdated() && (Role_ == Role::Keeps || owesMoves()))
    writeMoves();
  else
    writeVersions();
}

VersionHistory OriginHistory::versionsToWrite() const {
  if (Role_ == Role::Keeps)
    return Versions_.history();
  // The list of an instance that keeps no history may be outdated.
  auto History = Recorded_->Versions_;
  for (auto const &[Service, Versions] : Versions_.history())
    for (auto const &[Version, LeftAt] : Versions) {
      if (!LeftAt)
        History[Service][Version].reset();
      else if (Version == UnidentifiedVersion)
        History[Service][Version] = std::max(History[Service][Version], LeftAt);
    }
  return History;
}

void OriginHistory::writeVersions() {
  IsCallOpen_ = true;
  auto const Sent = versionsToWrite();
  Store_.putIf(versionsKey(), Recorded_->VersionsVersion_, encode(Sent),
               StoreTimeout,
               [Self = shared_from_this(),
                Text = encode(Sent)](Result<Version> const &Done) {
                 if (!isError(Done))
                   Self->onChanged({{versionsKey(), valueOf(Done), Text}});
                 Self->onWritten(Done);
               });
}

void OriginHistory::writeMoves() {
  IsCallOpen_ = true;
  auto Sent = Moves_.moved();
  Sent.ConfigurationVersion_ = std::max(
      Sent.ConfigurationVersion_, Recorded_->Moves_.ConfigurationVersion_);
  Store_.putIf(movesKey(), Recorded_->MovesVersion_, encode(Sent), StoreTimeout,
               [Self = shared_from_this(),
                Text = encode(Sent)](Result<Version> const &Done) {
                 if (!isError(Done))
                   Self->onChanged({{movesKey(), valueOf(Done), Text}});
                 Self->onWritten(Done);
               });
}

void OriginHistory::onWritten(Result<Version> const &Written) {
  IsCallOpen_ = false;
  if (isError(Written)) {
    // Another instance may have written it, or the answer was lost: read it
    // again.
    Recorded_.reset();
    if (errorOf(Written).Kind_ != ErrorKind::Conflict)
      NextCallAt_ = Now_ + pauseAfterFailure();
  }
  update();
}

bool OriginHistory::isMixed(Duration TimeOfDay) const {
  return isStoreDistrusted() || Versions_.isMixed(TimeOfDay) ||
         Moves_.hasAnyMoved(TimeOfDay);
}

std::optional<StreamOrigin>
OriginHistory::onlyOrigin(ServiceName const &Service, std::string_view Host,
                          std::string_view Target) const {
  if (isStoreDistrusted() || Moves_.hasMoved(Host, Target, TimeOfDay_))
    return std::nullopt;
  auto const Version = Versions_.onlyVersion(Service, TimeOfDay_);
  if (!Version)
    return std::nullopt;
  return StreamOrigin{Service, *Version};
}

std::string OriginHistory::versionsOf(ServiceName const &Service) const {
  std::string Names;
  auto const Found = Versions_.history().find(Service);
  if (Found != Versions_.history().end())
    for (auto const &[Version, LeftAt] : Found->second)
      Names += (Names.empty() ? "" : ",") + Version;
  return Names;
}

RecordedOrigins OriginHistory::recordedOrigins() const {
  RecordedOrigins Origins;
  for (auto const &[Service, Versions] : LastRead_.Versions_)
    for (auto const &[Version, LeftAt] : Versions)
      if (!LeftAt || TimeOfDay_ - *LeftAt < BeginTimeAfterLeft)
        Origins.Versions_.insert({Service, Version});
  auto const &Known = Moves_.moved();
  auto const IsRecent = [this](Duration At) {
    return TimeOfDay_ - At < RouteMoves::RetentionTime;
  };
  for (auto const &Region : Known.Regions_)
    if (IsRecent(Region.second) && !coversRegion(Region, LastRead_.Moves_))
      Origins.UnrecordedMoves_.push_back(Region.first);
  bool const HasUnseen =
      Known.UnknownAt_ && IsRecent(*Known.UnknownAt_) &&
      LastRead_.Moves_.ConfigurationVersion_ < Known.ConfigurationVersion_;
  bool const IsTableOld =
      TableOutdatedSince_ && Now_ - *TableOutdatedSince_ >= MaxTableLag;
  if (WasRead_ && !HasUnseen && !IsTableOld)
    Origins.OtherMoves_ = MoveRecord::Complete;
  return Origins;
}

void OriginHistory::setListener(Listener Listener) {
  Listener_ = std::move(Listener);
  if (Listener_)
    Listener_(Published_ = recordedOrigins());
}

void OriginHistory::publish() {
  if (!Listener_)
    return;
  auto Origins = recordedOrigins();
  if (Origins == Published_)
    return;
  Published_ = std::move(Origins);
  Listener_(Published_);
}

} // namespace laburnum
