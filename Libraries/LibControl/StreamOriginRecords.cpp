#include <LibControl/StreamOriginRecords.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace laburnum {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds StoreTimeout{1500};
/// A client waits for the answer to a read that finds its stream's origin.
constexpr std::chrono::milliseconds SearchTimeout{400};
constexpr std::chrono::seconds PauseAfterFailure{1};
/// How often one instance records its streams, and all of them together.
constexpr std::chrono::milliseconds MinRecordPeriod{100};
constexpr std::chrono::milliseconds RecordPeriodPerInstance{12};
/// Time for a record to be written after its period.
constexpr std::chrono::milliseconds RecordDelay{100};
/// Records of instances that were removed are deleted after this time.
constexpr std::chrono::minutes RecordLifetime{10};

/// Within which instances notice the same move, by clocks that differ.
constexpr std::chrono::seconds SameMoveTime{3};

constexpr char const *StreamCollection = "entry-streams";

constexpr char const *HistoryCollection = "entry-software-versions";

ObjectKey versionsKey() { return {HistoryCollection, "history"}; }
ObjectKey movesKey() { return {HistoryCollection, "moved-routes"}; }

std::int64_t milliseconds(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

std::string encode(VersionHistory const &History) {
  auto Services = json::object();
  for (auto const &[Service, Versions] : History)
    for (auto const &[Version, LeftAt] : Versions)
      Services[Service.text()][Version] =
          LeftAt ? json(milliseconds(*LeftAt)) : json();
  return json{{"services", Services}}.dump();
}

/// Returns nothing for an object that this system did not write.
VersionHistory decodeHistory(std::string const &Text) {
  VersionHistory History;
  try {
    auto const Value = json::parse(Text);
    for (auto const &[Service, Versions] : Value.at("services").items())
      for (auto const &[Version, LeftAt] : Versions.items()) {
        auto &Entry = History[ServiceName(Service)][Version];
        if (!LeftAt.is_null())
          Entry = std::chrono::milliseconds(LeftAt.get<std::int64_t>());
      }
  } catch (json::exception const &) {
    return {};
  }
  return History;
}

std::string encode(MovedRoutes const &Moved) {
  auto Regions = json::array();
  for (auto const &[Region, At] : Moved.Regions_)
    Regions.push_back({{"host", Region.Host_},
                       {"path_prefix", Region.PathPrefix_},
                       {"moved_ms", milliseconds(At)}});
  json Value{{"configuration", Moved.ConfigurationVersion_},
             {"regions", Regions}};
  if (Moved.UnknownAt_)
    Value["unknown_ms"] = milliseconds(*Moved.UnknownAt_);
  return Value.dump();
}

/// Returns nothing for an object that this system did not write.
MovedRoutes decodeMoves(std::string const &Text) {
  MovedRoutes Moved;
  try {
    auto const Value = json::parse(Text);
    auto const &Configuration = Value.at("configuration");
    if (!Configuration.is_number_unsigned())
      return {};
    Moved.ConfigurationVersion_ = Configuration.get<std::uint64_t>();
    for (auto const &Region : Value.at("regions"))
      Moved.Regions_[{Region.at("host").get<std::string>(),
                      Region.at("path_prefix").get<std::string>()}] =
          std::chrono::milliseconds(Region.at("moved_ms").get<std::int64_t>());
    if (auto const At = Value.find("unknown_ms"); At != Value.end())
      Moved.UnknownAt_ = std::chrono::milliseconds(At->get<std::int64_t>());
  } catch (json::exception const &) {
    return {};
  }
  return Moved;
}

using Origins = std::map<std::string, StreamOrigin>;

std::string encode(Origins const &Streams, Duration TimeOfDay) {
  auto Services = json::object();
  for (auto const &[FirstAttemptId, Origin] : Streams)
    Services[Origin.Service_.text()][Origin.SoftwareVersion_].push_back(
        FirstAttemptId);
  return json{{"written_ms", milliseconds(TimeOfDay)}, {"streams", Services}}
      .dump();
}

/// Returns the time of writing. An object that this system did not write holds
/// no streams.
Duration decodeStreams(std::string const &Text, Origins &Into) {
  try {
    auto const Value = json::parse(Text);
    for (auto const &[Service, Versions] : Value.at("streams").items())
      for (auto const &[Version, Streams] : Versions.items())
        for (auto const &Stream : Streams)
          Into[Stream.get<std::string>()] = {ServiceName(Service), Version};
    return std::chrono::milliseconds(
        Value.at("written_ms").get<std::int64_t>());
  } catch (json::exception const &) {
    return Duration(0);
  }
}

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

/// Returns whether all regions that have moved in One have moved in Other, and
/// not much earlier: a later move may lead elsewhere.
bool coversRegions(MovedRoutes const &One, MovedRoutes const &Other) {
  return std::all_of(One.Regions_.begin(), One.Regions_.end(),
                     [&](auto const &Region) {
                       auto const Found = Other.Regions_.find(Region.first);
                       return Found != Other.Regions_.end() &&
                              Found->second + SameMoveTime >= Region.second;
                     });
}

} // namespace

std::string_view toString(OriginSource Source) {
  switch (Source) {
  case OriginSource::OnlyVersion:
    return "only version";
  case OriginSource::Record:
    return "record";
  case OriginSource::NotRecorded:
    return "not recorded";
  case OriginSource::StoreSilent:
    return "store silent";
  }
  return "unknown";
}

void StreamOriginRecords::setTime(Duration TimeOfDay, TimePoint Now) {
  TimeOfDay_ = TimeOfDay;
  Now_ = Now;
}

void StreamOriginRecords::setListed(std::vector<ServerRecord> const &Servers,
                                    Duration TimeOfDay, TimePoint Now) {
  setTime(TimeOfDay, Now);
  IsListed_ = true;
  Versions_.setListed(Servers, TimeOfDay);
  updateHistory();
}

void StreamOriginRecords::setTable(std::shared_ptr<RouteTable const> Table,
                                   Duration TimeOfDay, TimePoint Now) {
  setTime(TimeOfDay, Now);
  Moves_.setTable(std::move(Table), TimeOfDay);
  updateHistory();
}

void StreamOriginRecords::setHistoryRole(HistoryRole Role, Duration TimeOfDay,
                                         TimePoint Now) {
  setTime(TimeOfDay, Now);
  // Another may have kept it meanwhile.
  if (std::exchange(HistoryRole_, Role) != Role)
    Recorded_.reset();
  updateHistory();
}

void StreamOriginRecords::setPeers(PeerReach Reach, std::size_t Live) {
  Reach_ = Reach;
  Live_ = Live;
}

void StreamOriginRecords::onStoreRestored(Duration TimeOfDay, TimePoint Now) {
  setTime(TimeOfDay, Now);
  Recorded_.reset();
  Written_.clear();
  updateHistory();
}

void StreamOriginRecords::readHistory(
    Duration Timeout, std::function<void(bool IsRead)> const &Then) {
  Store_.list(
      HistoryCollection, ReadConsistency::Latest, Timeout,
      [Self = shared_from_this(), Then](Result<ObjectList> const &Read) {
        if (isError(Read))
          return Then(false);
        RecordedHistory Found;
        for (auto const &Object : valueOf(Read).Objects_)
          if (Object.Key_ == versionsKey()) {
            Found.VersionsVersion_ = Object.Version_;
            Found.Versions_ = decodeHistory(Object.Value_);
          } else if (Object.Key_ == movesKey()) {
            Found.MovesVersion_ = Object.Version_;
            Found.Moves_ = decodeMoves(Object.Value_);
          }
        Self->Versions_.merge(Found.Versions_, Self->TimeOfDay_);
        Self->Moves_.merge(Found.Moves_, Self->TimeOfDay_);
        Self->Recorded_ = std::move(Found);
        Self->WasHistoryRead_ = true;
        Then(true);
      });
}

bool StreamOriginRecords::areVersionsOutdated() const {
  return !coversListed(Versions_.history(), Recorded_->Versions_) ||
         !coversListed(Recorded_->Versions_, Versions_.history());
}

bool StreamOriginRecords::areMovesOutdated() const {
  auto const &Known = Moves_.moved();
  auto const &Recorded = Recorded_->Moves_;
  return Recorded.ConfigurationVersion_ < Known.ConfigurationVersion_ ||
         !coversRegions(Known, Recorded);
}

bool StreamOriginRecords::owesMoves(Duration TimeOfDay) const {
  return !Unfinished_.empty() && Moves_.hasAnyMoved(TimeOfDay) &&
         (!Recorded_ || areMovesOutdated());
}

bool StreamOriginRecords::owesHistory(Duration TimeOfDay) const {
  if (!IsListed_)
    return false;
  if (!WasHistoryRead_ || owesMoves(TimeOfDay))
    return true;
  return HistoryRole_ == HistoryRole::Keeps &&
         (!Recorded_ || isHistoryOutdated());
}

void StreamOriginRecords::updateHistory() {
  if (!owesHistory(TimeOfDay_) || IsHistoryCallOpen_ ||
      Now_ < NextHistoryCallAt_)
    return;
  if (!WasHistoryRead_ || !Recorded_) {
    IsHistoryCallOpen_ = true;
    return readHistory(StoreTimeout, [Self = shared_from_this()](bool IsRead) {
      Self->IsHistoryCallOpen_ = false;
      if (!IsRead)
        Self->NextHistoryCallAt_ = Self->Now_ + PauseAfterFailure;
      else
        Self->updateHistory();
    });
  }
  if (areMovesOutdated())
    writeMoves();
  else
    writeVersions();
}

void StreamOriginRecords::writeVersions() {
  IsHistoryCallOpen_ = true;
  auto const Sent = Versions_.history();
  Store_.putIf(versionsKey(), Recorded_->VersionsVersion_, encode(Sent),
               StoreTimeout,
               [Self = shared_from_this(), Sent](Result<Version> const &Done) {
                 if (!isError(Done) && Self->Recorded_) {
                   Self->Recorded_->Versions_ = Sent;
                   Self->Recorded_->VersionsVersion_ = valueOf(Done);
                 }
                 Self->onHistoryWritten(Done);
               });
}

void StreamOriginRecords::writeMoves() {
  IsHistoryCallOpen_ = true;
  auto Sent = Moves_.moved();
  Sent.ConfigurationVersion_ = std::max(
      Sent.ConfigurationVersion_, Recorded_->Moves_.ConfigurationVersion_);
  Store_.putIf(movesKey(), Recorded_->MovesVersion_, encode(Sent), StoreTimeout,
               [Self = shared_from_this(), Sent](Result<Version> const &Done) {
                 if (!isError(Done) && Self->Recorded_) {
                   Self->Recorded_->Moves_ = Sent;
                   Self->Recorded_->MovesVersion_ = valueOf(Done);
                 }
                 Self->onHistoryWritten(Done);
               });
}

void StreamOriginRecords::onHistoryWritten(Result<Version> const &Written) {
  IsHistoryCallOpen_ = false;
  if (isError(Written)) {
    // Another instance may have written it, or the answer was lost: read it
    // again.
    Recorded_.reset();
    if (errorOf(Written).Kind_ != ErrorKind::Conflict)
      NextHistoryCallAt_ = Now_ + PauseAfterFailure;
  }
  updateHistory();
}

void StreamOriginRecords::find(StreamTakeUp Wanted, Duration TimeOfDay,
                               TimePoint Now, Done Done) {
  setTime(TimeOfDay, Now);
  Queries_.push_back({std::move(Wanted), std::move(Done)});
  if (!IsSearching_)
    search();
}

/// One read answers all queries that came before it.
void StreamOriginRecords::search() {
  IsSearching_ = true;
  readHistory(SearchTimeout,
              [Self = shared_from_this(),
               Queries = std::exchange(Queries_, {})](bool IsRead) mutable {
                if (IsRead) {
                  Self->updateHistory();
                  return Self->decide(std::move(Queries));
                }
                // No one who can read the store is out of reach.
                if (Self->WasHistoryRead_ && Self->Reach_ == PeerReach::Most)
                  Queries = Self->answerByVersions(std::move(Queries));
                Self->refuse(Queries);
              });
}

void StreamOriginRecords::decide(std::vector<Query> Queries) {
  if (ListAge_ == ListAge::Current)
    return searchRecords(answerByVersions(std::move(Queries)));
  // The history lacks versions that those who keep it have just seen.
  ReadServerList_(SearchTimeout,
                  [Self = shared_from_this(), Queries = std::move(Queries)](
                      std::optional<std::vector<ServerRecord>> const &Servers) {
                    if (!Servers)
                      return Self->refuse(Queries);
                    Self->Versions_.setListed(*Servers, Self->TimeOfDay_);
                    Self->searchRecords(Self->answerByVersions(Queries));
                  });
}

void StreamOriginRecords::refuse(std::vector<Query> const &Queries) {
  for (auto const &Query : Queries)
    Query.Done_({std::nullopt, OriginSource::StoreSilent});
  endSearch();
}

std::vector<StreamOriginRecords::Query>
StreamOriginRecords::answerByVersions(std::vector<Query> Queries) {
  std::vector<Query> Others;
  for (auto &Query : Queries) {
    auto const &Wanted = Query.Wanted_;
    auto const Version = Versions_.onlyVersion(Wanted.Service_, TimeOfDay_);
    if (Version && !Moves_.hasMoved(Wanted.Host_, Wanted.Target_, TimeOfDay_))
      Query.Done_(
          {StreamOrigin{Wanted.Service_, *Version}, OriginSource::OnlyVersion});
    else
      Others.push_back(std::move(Query));
  }
  return Others;
}

void StreamOriginRecords::searchRecords(std::vector<Query> Queries) {
  if (Queries.empty())
    return endSearch();
  Store_.list(
      StreamCollection, ReadConsistency::Latest, SearchTimeout,
      [Self = shared_from_this(),
       Queries = std::move(Queries)](Result<ObjectList> const &Read) mutable {
        if (isError(Read))
          return Self->refuse(Queries);
        Origins Streams;
        for (auto const &Object : valueOf(Read).Objects_)
          if (auto const WrittenAt = decodeStreams(Object.Value_, Streams);
              Self->TimeOfDay_ - WrittenAt > RecordLifetime)
            Self->Store_.remove(Object.Key_, StoreTimeout, [](auto const &) {});
        for (auto &Query : Queries) {
          auto const Found = Streams.find(Query.Wanted_.FirstAttemptId_);
          if (Found != Streams.end()) {
            Query.Done_({Found->second, OriginSource::Record});
          } else if (!Query.Wanted_.FirstAttemptId_.empty() &&
                     !Query.IsRepeated_) {
            // The instance that began it may be about to record it.
            Query.IsRepeated_ = true;
            Query.NotBefore_ = Self->Now_ + Self->recordPeriod() + RecordDelay;
            Self->DelayedQueries_.push_back(std::move(Query));
          } else {
            Query.Done_({std::nullopt, OriginSource::NotRecorded});
          }
        }
        Self->endSearch();
      });
}

void StreamOriginRecords::endSearch() {
  IsSearching_ = false;
  if (!Queries_.empty())
    search();
}

Duration StreamOriginRecords::recordPeriod() const {
  return std::max<Duration>(MinRecordPeriod,
                            RecordPeriodPerInstance *
                                static_cast<std::int64_t>(Live_));
}

void StreamOriginRecords::setUnfinished(std::vector<BegunStream> Streams,
                                        Duration TimeOfDay, TimePoint Now) {
  setTime(TimeOfDay, Now);
  Unfinished_.clear();
  for (auto &Stream : Streams)
    Unfinished_.emplace(std::move(Stream.FirstAttemptId_),
                        std::move(Stream.Origin_));
  updateHistory();
  if (isMixed(TimeOfDay))
    writeStreams();
}

/// A stream that has ended needs no write of its own.
bool StreamOriginRecords::isRecordOutdated() const {
  return !std::includes(Written_.begin(), Written_.end(), Unfinished_.begin(),
                        Unfinished_.end());
}

bool StreamOriginRecords::isBusy(Duration TimeOfDay) const {
  return owesHistory(TimeOfDay) || isMixed(TimeOfDay) || IsSearching_ ||
         !Queries_.empty() || !DelayedQueries_.empty();
}

void StreamOriginRecords::tick(Duration TimeOfDay, TimePoint Now) {
  setTime(TimeOfDay, Now);
  updateHistory();
  auto const Due = std::partition(
      DelayedQueries_.begin(), DelayedQueries_.end(),
      [&](Query const &Query) { return Query.NotBefore_ > Now; });
  std::move(Due, DelayedQueries_.end(), std::back_inserter(Queries_));
  DelayedQueries_.erase(Due, DelayedQueries_.end());
  if (!Queries_.empty() && !IsSearching_)
    search();
  if (isMixed(TimeOfDay))
    writeStreams();
}

void StreamOriginRecords::writeStreams() {
  if (IsStreamCallOpen_ || Now_ < NextStreamCallAt_ || !isRecordOutdated())
    return;
  IsStreamCallOpen_ = true;
  NextStreamCallAt_ = Now_ + recordPeriod();
  if (Inherited_)
    return putStreams();
  Store_.get({StreamCollection, Name_}, ReadConsistency::Latest, StoreTimeout,
             [Self = shared_from_this()](Result<StoredObject> const &Read) {
               if (isError(Read)) {
                 Self->IsStreamCallOpen_ = false;
                 return;
               }
               Self->Inherited_.emplace();
               Self->InheritedUntil_ =
                   Self->Now_ + StreamOrigins::RetentionTime;
               decodeStreams(valueOf(Read).Value_, *Self->Inherited_);
               Self->putStreams();
             });
}

void StreamOriginRecords::putStreams() {
  if (Now_ >= InheritedUntil_)
    Inherited_->clear();
  auto const Sent = Unfinished_;
  auto All = Sent;
  All.insert(Inherited_->begin(), Inherited_->end());
  Store_.put({StreamCollection, Name_}, encode(All, TimeOfDay_), StoreTimeout,
             [Self = shared_from_this(), Sent](Result<Version> const &Done) {
               Self->IsStreamCallOpen_ = false;
               if (!isError(Done))
                 Self->Written_ = Sent;
             });
}

} // namespace laburnum
