#include <LibControl/StreamOriginRecords.h>

#include <LibCore/PercentEncoding.h>

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
/// How often one instance records its streams, and all of them together.
constexpr std::chrono::milliseconds MinRecordPeriod{100};
constexpr std::chrono::milliseconds RecordPeriodPerInstance{12};
/// Maximum pause after failed calls, after each of which it doubles.
constexpr std::chrono::milliseconds MaxPause{3200};
constexpr std::uint32_t MaxDoublings = 5;
/// Clients choose identifiers. Longer ones are not recorded, as they would make
/// the record too large for the store.
constexpr std::size_t MaxIdentifierSize = 256;
/// Time for a record to be written after its period.
constexpr std::chrono::milliseconds RecordDelay{100};
/// Records of instances that were removed are deleted after this time.
constexpr std::chrono::minutes RecordLifetime{10};

constexpr char const *StreamCollection = "entry-streams";

std::int64_t milliseconds(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

using Origins = std::map<std::string, StreamOrigin>;

/// Clients choose the identifiers, which need not be UTF-8 as JSON texts are,
/// so they are percent-encoded. Invalid UTF-8 in the other texts is replaced.
std::string encode(Origins const &Streams, Duration TimeOfDay) {
  auto Services = json::object();
  for (auto const &[FirstAttemptId, Origin] : Streams)
    if (FirstAttemptId.size() <= MaxIdentifierSize)
      Services[Origin.Service_.text()][Origin.SoftwareVersion_].push_back(
          percentEncode(FirstAttemptId));
  return json{{"written_ms", milliseconds(TimeOfDay)}, {"streams", Services}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Earlier releases recorded identifiers as they are.
std::string decodeIdentifier(std::string const &Text) {
  return percentDecode(Text).value_or(Text);
}

/// Returns the time of writing. An object that this system did not write holds
/// no streams.
Duration decodeStreams(std::string const &Text, Origins &Into) {
  try {
    auto const Value = json::parse(Text);
    for (auto const &[Service, Versions] : Value.at("streams").items())
      for (auto const &[Version, Streams] : Versions.items())
        for (auto const &Stream : Streams)
          Into[decodeIdentifier(Stream.get<std::string>())] = {
              ServiceName(Service), Version};
    return std::chrono::milliseconds(
        Value.at("written_ms").get<std::int64_t>());
  } catch (json::exception const &) {
    return Duration(0);
  }
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
  case OriginSource::Copy:
    return "copy";
  }
  return "unknown";
}

void StreamOriginRecords::setTime(Duration TimeOfDay, TimePoint Now) {
  TimeOfDay_ = TimeOfDay;
  Now_ = Now;
  History_->setTime(TimeOfDay, Now);
}

void StreamOriginRecords::setListed(std::vector<ServerRecord> const &Servers,
                                    Duration TimeOfDay, TimePoint Now) {
  setTime(TimeOfDay, Now);
  History_->setListed(Servers);
}

void StreamOriginRecords::setTable(std::shared_ptr<RouteTable const> Table,
                                   Duration TimeOfDay, TimePoint Now) {
  setTime(TimeOfDay, Now);
  DoStreamsWait_ = false;
  History_->setStreams(!Unfinished_.empty());
  History_->setTable(std::move(Table));
}

void StreamOriginRecords::setHistoryRole(OriginHistory::Role Role,
                                         Duration TimeOfDay, TimePoint Now) {
  setTime(TimeOfDay, Now);
  History_->setRole(Role);
}

void StreamOriginRecords::setLive(std::size_t Live) {
  Live_ = Live;
  History_->setLive(Live);
}

void StreamOriginRecords::onStoreRestored(Duration TimeOfDay, TimePoint Now) {
  setTime(TimeOfDay, Now);
  Written_.clear();
  History_->onStoreRestored();
}

void StreamOriginRecords::onUnidentified(ServiceName const &Service,
                                         Duration TimeOfDay, TimePoint Now) {
  setTime(TimeOfDay, Now);
  History_->onUnidentified(Service);
}

void StreamOriginRecords::onStreamsWait(Duration TimeOfDay, TimePoint Now) {
  setTime(TimeOfDay, Now);
  DoStreamsWait_ = true;
  History_->setStreams(true);
}

void StreamOriginRecords::onHistoryListed(ObjectList const &Listed,
                                          Duration TimeOfDay, TimePoint Now) {
  setTime(TimeOfDay, Now);
  History_->onListed(Listed);
}

void StreamOriginRecords::onHistoryChanged(
    std::vector<StoredObject> const &Objects, Duration TimeOfDay,
    TimePoint Now) {
  setTime(TimeOfDay, Now);
  History_->onChanged(Objects);
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
  History_->read(SearchTimeout, [Self = shared_from_this(),
                                 Queries = std::exchange(Queries_, {})](
                                    bool IsRead) mutable {
    if (!IsRead)
      return Self->refuse(Queries);
    Self->searchRecords(Self->answerByHistory(std::move(Queries)));
  });
}

void StreamOriginRecords::refuse(std::vector<Query> const &Queries) {
  for (auto const &Query : Queries)
    Query.Done_({std::nullopt, OriginSource::StoreSilent});
  endSearch();
}

std::vector<StreamOriginRecords::Query>
StreamOriginRecords::answerByHistory(std::vector<Query> Queries) {
  std::vector<Query> Others;
  for (auto &Query : Queries) {
    auto const &Wanted = Query.Wanted_;
    if (auto Only =
            History_->onlyOrigin(Wanted.Service_, Wanted.Host_, Wanted.Target_))
      Query.Done_({std::move(Only), OriginSource::OnlyVersion});
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
  History_->setStreams(DoStreamsWait_ || !Unfinished_.empty());
  if (isMixed(TimeOfDay))
    writeStreams();
}

/// A stream that has ended needs no write of its own.
bool StreamOriginRecords::isRecordOutdated() const {
  return !std::includes(Written_.begin(), Written_.end(), Unfinished_.begin(),
                        Unfinished_.end());
}

bool StreamOriginRecords::isBusy(Duration TimeOfDay) const {
  return History_->isBusy() || isMixed(TimeOfDay) || IsSearching_ ||
         !Queries_.empty() || !DelayedQueries_.empty();
}

void StreamOriginRecords::tick(Duration TimeOfDay, TimePoint Now) {
  setTime(TimeOfDay, Now);
  History_->update();
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
               if (isError(Read))
                 return Self->onStreamCallFailed();
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
               if (isError(Done))
                 return Self->onStreamCallFailed();
               Self->IsStreamCallOpen_ = false;
               Self->Failures_ = 0;
               Self->Written_ = Sent;
             });
}

void StreamOriginRecords::onStreamCallFailed() {
  IsStreamCallOpen_ = false;
  Failures_ = std::min(Failures_ + 1, MaxDoublings);
  auto const Period = recordPeriod();
  auto const Pause = std::min<Duration>(Period * (1U << Failures_),
                                        std::max<Duration>(Period, MaxPause));
  NextStreamCallAt_ = Now_ + Pause;
}

} // namespace laburnum
