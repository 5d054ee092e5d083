#include <LibControl/StoreRelay.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace laburnum {

using namespace relay;

namespace {

/// Number of ranked readers. With two in different data centres, the loss of
/// one reader, or of its data centre, does not interrupt updates.
constexpr std::size_t ReaderCount = 2;
/// Wait of one watch. Shorter waits detect an unresponsive store sooner, but
/// each watch is a call that the platform charges for.
constexpr std::chrono::milliseconds WatchWait{2500};
/// An open watch confirms the local copy until its wait plus this time.
constexpr std::chrono::milliseconds WatchGracePeriod{200};
/// Pause after a change, so that further changes share the next call.
constexpr std::chrono::milliseconds BatchPause{400};
/// The same pause for the second reader while updates of the first one arrive:
/// it receives changes from the first reader and needs no calls of its own.
constexpr std::chrono::milliseconds SecondReaderPause{2000};
/// Without an update or keep-alive of the first reader for this long, the
/// second reader watches without that pause.
constexpr std::chrono::milliseconds SecondReaderTimeout{700};
/// Interval of the readers' keep-alives.
constexpr std::chrono::milliseconds KeepAlivePeriod{500};
/// Age of the last confirmation at which an instance becomes a fallback reader.
/// By then two keep-alives of all readers were missed, and a list still returns
/// in time for a configuration that has to be in force 2.5 s after it was
/// accepted.
constexpr std::chrono::milliseconds StaleTimeout{1200};
/// Added to the timeout per rank, up to the limit. A list takes about as long,
/// so that the updates of the first fallback readers spare later ones a read.
constexpr std::chrono::milliseconds StaleTimeoutPerRank{25};
constexpr std::chrono::milliseconds MaxAddedTimeout{600};
/// Time after which an instance that finds no other at its start reads the
/// store: at the first start of a whole system nobody is registered yet.
constexpr std::chrono::milliseconds AloneStartTimeout{600};
/// All instances may start together. In a fleet up to this size each reads the
/// store at once. In a larger one each waits for an answer of another instance
/// for the latency between regions plus a random fraction of a time that grows
/// with each further instance.
constexpr std::size_t MaxStartReaders = 12;
constexpr std::chrono::milliseconds AnswerTime{40};
constexpr std::chrono::milliseconds StartTimeoutPerInstance{10};
/// Snapshot requests sent at once at the start, as some receivers may be gone.
constexpr std::size_t SnapshotRequestsAtStart = 2;
/// Time that an instance stays a fallback reader: membership detects the lost
/// readers within it, and others become ranked readers.
constexpr std::chrono::seconds FallbackDuration{6};
/// After a longer gap between ticks the process was suspended, and open watches
/// no longer confirm the local copy.
constexpr std::chrono::milliseconds MaxTickGap{1000};
/// Backoff of ranked readers while the store does not answer.
constexpr std::chrono::milliseconds InitialBackoff{50};
constexpr std::chrono::milliseconds MaxBackoff{400};
constexpr std::uint32_t MaxDoublings = 3;
/// Minimum backoff of fallback readers per instance: all instances are fallback
/// readers then, and their total call rate must not grow with the fleet.
constexpr std::chrono::milliseconds FallbackBackoffPerInstance{15};
/// Minimum interval of snapshot requests.
constexpr std::chrono::milliseconds RequestInterval{150};
/// Fleets up to this size are updated directly, without a tree.
constexpr std::size_t MaxDirectInstances = 8;
/// Reports of an origin are dropped after this time.
constexpr std::chrono::seconds ReportRetention{60};

} // namespace

StoreRelay::StoreRelay(relay::Settings Settings)
    : Settings_(std::move(Settings)),
      Generator_(Settings_.Seed_), Live_{Settings_.Self_},
      Tree_(Settings_.Self_) {
  for (auto const &Collection : Settings_.Collections_)
    FollowedCollections_.emplace_back(Collection);
  StartJitter_ = std::uniform_real_distribution<double>()(Generator_);
}

std::vector<Action> StoreRelay::take() { return std::exchange(Actions_, {}); }

StoreRelay::FollowedCollection *
StoreRelay::find(std::string const &Collection) {
  auto const Found =
      std::find_if(FollowedCollections_.begin(), FollowedCollections_.end(),
                   [&](FollowedCollection const &Entry) {
                     return Entry.State_.collection() == Collection;
                   });
  return Found == FollowedCollections_.end() ? nullptr : &*Found;
}

std::vector<Action> StoreRelay::tick(TimePoint Now) {
  Now_ = Now;
  if (!StartedAt_)
    StartedAt_ = Now;
  // Watches that were open during a suspension may have ended or been lost.
  if (LastTick_ && Now - *LastTick_ > MaxTickGap)
    for (auto &Entry : FollowedCollections_)
      Entry.WatchStartedAt_.reset();
  LastTick_ = Now;
  updateReaderRole();
  read();
  sendKeepAlive();
  requestMissing();
  for (auto &Entry : FollowedCollections_)
    std::erase_if(Entry.ReportedAt_, [&](auto const &Report) {
      return Report.second + ReportRetention < Now;
    });
  return take();
}

// Choice of the readers.

std::vector<Action> StoreRelay::setMembers(std::vector<Member> const &Members,
                                           TimePoint Now) {
  Now_ = Now;
  Live_ = liveInstances(Settings_.Self_, Members);
  auto const Order = rendezvousOrder("store-readers", Live_, endpointKey);
  Rank_ = static_cast<std::size_t>(
      std::find(Order.begin(), Order.end(), Settings_.Self_) - Order.begin());
  if (!PeersKnownAt_ && Live_.size() > 1)
    PeersKnownAt_ = Now;
  // The first instance of each data centre precedes the second of any.
  RankedReaders_.clear();
  std::set<DataCentre> DataCentres;
  for (auto const &Entry : Order)
    if (RankedReaders_.size() < ReaderCount &&
        DataCentres.insert(Entry.DataCentre_).second)
      RankedReaders_.insert(Entry.Peers_);
  for (auto const &Entry : Order)
    if (RankedReaders_.size() < ReaderCount)
      RankedReaders_.insert(Entry.Peers_);
  Tree_.setMembers(Live_, RankedReaders_);
  if (StartedAt_)
    updateReaderRole();
  read();
  requestMissing();
  return take();
}

/// Whether an instance that has no update yet has to read the store itself.
bool StoreRelay::hasStartTimeoutPassed() const {
  if (!PeersKnownAt_)
    return Now_ - *StartedAt_ > AloneStartTimeout;
  if (Live_.size() <= MaxStartReaders)
    return true;
  auto const Added =
      StartTimeoutPerInstance * (Live_.size() - MaxStartReaders) * StartJitter_;
  return Now_ - *PeersKnownAt_ >
         AnswerTime + std::chrono::duration_cast<Duration>(Added);
}

/// Whether updates are overdue for so long that lower ranks, whose timeouts are
/// shorter, would already have read the store and sent some.
bool StoreRelay::isStale(Duration UpdateAge) {
  if (UpdateAge <= StaleTimeout) {
    StaleSince_.reset();
    return false;
  }
  if (!StaleSince_)
    StaleSince_ = Now_;
  return Now_ >= *StaleSince_ + std::min<Duration>(StaleTimeoutPerRank * Rank_,
                                                   MaxAddedTimeout);
}

/// Time of the last confirmation by others, of the collection for which it is
/// the oldest; std::nullopt if any collection was never confirmed.
std::optional<TimePoint> StoreRelay::oldestReportAt() const {
  std::optional<TimePoint> Oldest = Now_;
  for (auto const &Entry : FollowedCollections_) {
    auto const ConfirmedAt = Entry.reportedAt();
    Oldest =
        ConfirmedAt && Oldest ? std::min(ConfirmedAt, Oldest) : std::nullopt;
  }
  return Oldest;
}

std::optional<TimePoint> StoreRelay::FollowedCollection::reportedAt() const {
  std::optional<TimePoint> Newest;
  for (auto const &[Origin, ConfirmedAt] : ReportedAt_)
    Newest = Newest ? std::max(*Newest, ConfirmedAt) : ConfirmedAt;
  return Newest;
}

/// Whether enough other instances read the store. If all became fallback
/// readers at once, this makes all but the first stop.
bool StoreRelay::hasEnoughOtherReaders() const {
  return std::all_of(
      FollowedCollections_.begin(), FollowedCollections_.end(),
      [&](FollowedCollection const &Entry) {
        auto const FreshCount =
            std::count_if(Entry.ReportedAt_.begin(), Entry.ReportedAt_.end(),
                          [&](auto const &Report) {
                            return Report.second + StaleTimeout >= Now_;
                          });
        return static_cast<std::size_t>(FreshCount) >= ReaderCount;
      });
}

void StoreRelay::updateReaderRole() {
  auto const OldestReportAt = oldestReportAt();
  auto const UpdateAge = Now_ - OldestReportAt.value_or(*StartedAt_);
  if (OldestReportAt ? isStale(UpdateAge) : hasStartTimeoutPassed())
    FallbackUntil_ = Now_ + FallbackDuration;
  else if (hasEnoughOtherReaders())
    FallbackUntil_.reset();
  bool const IsFallback = FallbackUntil_ && Now_ < *FallbackUntil_;
  // The rank is meaningless until the other instances are known.
  bool const IsReader = RankedReaders_.contains(Settings_.Self_.Peers_) &&
                        (OldestReportAt || IsFallback);
  auto const Chosen = IsReader     ? ReaderRole::Ranked
                      : IsFallback ? ReaderRole::Fallback
                                   : ReaderRole::None;
  if (Chosen == ReaderRole_)
    return;
  if (ReaderRole_ == ReaderRole::None)
    for (auto &Entry : FollowedCollections_)
      Entry.NeedsList_ = true;
  ReaderRole_ = Chosen;
  Actions_.emplace_back(ReaderRoleChanged{Chosen, UpdateAge, Live_.size()});
}

// Reading the store.

void StoreRelay::read() {
  if (ReaderRole_ == ReaderRole::None)
    return;
  for (auto &Entry : FollowedCollections_) {
    if (Entry.IsReadPending_ || Now_ < Entry.NotBefore_)
      continue;
    if (Now_ < Entry.DeferredUntil_ &&
        Entry.reportedAt().value_or(TimePoint::min()) + SecondReaderTimeout >=
            Now_)
      continue;
    Entry.IsReadPending_ = true;
    auto const &Collection = Entry.State_.collection();
    if (Entry.NeedsList_) {
      Actions_.emplace_back(ListCollection{Collection});
      continue;
    }
    Entry.WatchStartedAt_ = Now_;
    Entry.WatchFrom_ = Entry.State_.version();
    Actions_.emplace_back(
        WatchCollection{Collection, Entry.WatchFrom_, WatchWait});
  }
}

std::vector<Action> StoreRelay::onRead(std::string const &Collection,
                                       ReadOutcome const &Outcome,
                                       TimePoint Now) {
  Now_ = Now;
  auto *const Entry = find(Collection);
  if (!Entry)
    return {};
  Entry->IsReadPending_ = false;
  Entry->WatchStartedAt_.reset();
  if (auto const *const List = std::get_if<Listed>(&Outcome))
    listed(*Entry, List->List_);
  else if (auto const *const Batch = std::get_if<Watched>(&Outcome))
    watched(*Entry, Batch->Batch_);
  else
    failed(*Entry, std::get<ReadFailed>(Outcome).Reason_);
  read();
  return take();
}

void StoreRelay::listed(FollowedCollection &Entry, ObjectList const &List) {
  succeeded(Entry);
  Entry.NeedsList_ = false;
  if (List.StoreVersion_ < Entry.State_.version())
    return; // An update came in between; the next watch starts from there.
  Entry.LocallyReadAt_ = Now_;
  auto Update = Entry.State_.difference(List);
  apply(Entry, Update);
  confirm(Entry);
  if (Update.From_ == 0 || !Update.Objects_.empty())
    publish({std::move(Update)});
  NextKeepAlive_ = Now_; // Others may be about to become fallback readers.
}

void StoreRelay::watched(FollowedCollection &Entry, WatchBatch const &Batch) {
  succeeded(Entry);
  if (Batch.Continuity_ == WatchContinuity::Gap) {
    Entry.NeedsList_ = true;
    return;
  }
  // The delta applies to any state since the last change known here.
  auto const From = std::min(Entry.WatchFrom_, Entry.State_.unchangedSince());
  CollectionUpdate Update{
      Entry.State_.collection(), From, Batch.StoreVersion_, {}, {}};
  for (auto const &Object : Batch.Objects_)
    Update.Objects_.push_back(updatedObject(Object));
  apply(Entry, Update);
  if (Batch.StoreVersion_ >= Entry.State_.unchangedSince())
    Entry.LocallyReadAt_ = Now_;
  confirm(Entry);
  if (Batch.Objects_.empty())
    return;
  Entry.NotBefore_ = Now_ + BatchPause;
  bool const IsFirst = ReaderRole_ == ReaderRole::Ranked && Rank_ == 0;
  Entry.DeferredUntil_ = IsFirst ? Now_ : Now_ + SecondReaderPause;
  publish({std::move(Update)});
}

void StoreRelay::failed(FollowedCollection &Entry, Error const &Reason) {
  if (Entry.Failures_++ == 0) {
    Actions_.emplace_back(StoreLost{Entry.State_.collection(), Reason});
    OwesLossNotice_ = ReaderRole_ == ReaderRole::Ranked;
    NextKeepAlive_ = Now_;
  }
  // An interrupted watch may have missed changes whose history is gone, and the
  // store may then let a watch from the old version wait without an answer.
  Entry.NeedsList_ = true;
  Duration Limit = std::min<Duration>(
      MaxBackoff,
      InitialBackoff * (1U << std::min(Entry.Failures_ - 1, MaxDoublings)));
  if (ReaderRole_ == ReaderRole::Fallback)
    Limit =
        std::max<Duration>(Limit, FallbackBackoffPerInstance * Live_.size());
  std::uniform_int_distribution<Duration::rep> Spread(Limit.count() / 2,
                                                      Limit.count());
  Entry.NotBefore_ = Now_ + Duration(Spread(Generator_));
}

void StoreRelay::succeeded(FollowedCollection &Entry) {
  if (std::exchange(Entry.Failures_, 0) > 0)
    Actions_.emplace_back(StoreRegained{Entry.State_.collection()});
}

// The local copies.

bool StoreRelay::apply(FollowedCollection &Entry,
                       CollectionUpdate const &Update) {
  auto const &Collection = Entry.State_.collection();
  auto Outcome = Entry.State_.apply(Update);
  if (std::holds_alternative<collection::Gap>(Outcome))
    return false;
  if (auto *const Replacement = std::get_if<collection::Replaced>(&Outcome))
    Actions_.emplace_back(
        CollectionReplaced{Collection, std::move(Replacement->All_)});
  else if (auto *const Delta = std::get_if<collection::Applied>(&Outcome))
    if (!Delta->Changes_.Objects_.empty())
      Actions_.emplace_back(
          CollectionChanged{Collection, std::move(Delta->Changes_)});
  return true;
}

void StoreRelay::confirm(FollowedCollection &Entry) {
  Actions_.emplace_back(
      CollectionConfirmed{Entry.State_.collection(), Entry.State_.version()});
}

std::optional<TimePoint>
StoreRelay::verifiedAt(FollowedCollection const &Entry) const {
  // An open watch shows that nothing has changed since its version.
  if (Entry.WatchStartedAt_ &&
      Entry.WatchFrom_ >= Entry.State_.unchangedSince() &&
      Now_ < *Entry.WatchStartedAt_ + WatchWait + WatchGracePeriod)
    return Now_;
  return Entry.LocallyReadAt_;
}

std::optional<TimePoint>
StoreRelay::confirmedAt(FollowedCollection const &Entry) const {
  auto const Local = verifiedAt(Entry);
  auto const Reported = Entry.reportedAt();
  if (!Local || !Reported)
    return Local ? Local : Reported;
  return std::max(*Local, *Reported);
}

// Updates from and to other instances.

std::vector<Action> StoreRelay::onStoreUpdate(StoreUpdate const &Update,
                                              TimePoint Now) {
  Now_ = Now;
  // An instance is part of its own tree, too.
  bool const IsLocal = Update.Origin_ == Settings_.Self_.Id_;
  for (auto const &CollectionChange : Update.Collections_) {
    auto *const Entry = find(CollectionChange.Collection_);
    if (!Entry || IsLocal || CollectionChange.Age_ < Duration(0))
      continue;
    if (!apply(*Entry, CollectionChange)) {
      requestSnapshot(*Entry, Update.ReplyTo_);
      continue;
    }
    // The sender does not have the last change known here.
    if (CollectionChange.To_ < Entry->State_.unchangedSince())
      continue;
    Entry->ReportedAt_[Update.Origin_] = Now - CollectionChange.Age_;
    confirm(*Entry);
  }
  if (Update.Propagation_ == Propagation::Tree)
    forward(Update);
  return take();
}

std::vector<Action> StoreRelay::onRequest(SnapshotRequest const &Request,
                                          TimePoint Now) {
  Now_ = Now;
  StoreUpdate Response;
  for (auto const &Collection : Request.Collections_) {
    auto *const Entry = find(Collection);
    auto const ConfirmedAt = Entry ? confirmedAt(*Entry) : std::nullopt;
    if (ConfirmedAt && Entry->State_.version() != 0)
      Response.Collections_.push_back(
          Entry->State_.snapshot(Now - *ConfirmedAt));
  }
  if (!Response.Collections_.empty())
    send(Request.ReplyTo_, std::move(Response));
  return take();
}

void StoreRelay::sendKeepAlive() {
  if (ReaderRole_ == ReaderRole::None || Now_ < NextKeepAlive_)
    return;
  NextKeepAlive_ = Now_ + KeepAlivePeriod;
  bool IsUseful = std::exchange(OwesLossNotice_, false);
  std::vector<CollectionUpdate> Update;
  for (auto const &Entry : FollowedCollections_) {
    auto const ConfirmedAt = verifiedAt(Entry);
    if (!ConfirmedAt || Entry.State_.version() == 0)
      continue;
    IsUseful |= Now_ - *ConfirmedAt <= StaleTimeout;
    Update.push_back(Entry.State_.confirmation(Now_ - *ConfirmedAt));
  }
  if (IsUseful)
    publish(std::move(Update));
}

void StoreRelay::publish(std::vector<CollectionUpdate> Update) {
  if (ReaderRole_ != ReaderRole::Ranked && hasEnoughOtherReaders())
    return;
  StoreUpdate Outgoing;
  Outgoing.Number_ = ++Number_;
  Outgoing.Collections_ = std::move(Update);
  if (Live_.size() <= MaxDirectInstances) {
    for (auto const &Entry : Live_)
      if (Entry.Id_ != Settings_.Self_.Id_)
        send(Entry.Peers_, Outgoing);
    return;
  }
  Outgoing.Propagation_ = Propagation::Tree;
  for (auto const &Child : Tree_.rootChildren())
    send(Child, Outgoing);
}

void StoreRelay::forward(StoreUpdate const &Update) {
  auto const Children = Tree_.receive(Update.Origin_, Update.Number_, Now_);
  if (!Children)
    return;
  for (auto const &Child : *Children) {
    auto Copy = Update;
    Copy.ReplyTo_ = Settings_.Self_.Peers_;
    Actions_.emplace_back(SendToPeer{Child, std::move(Copy)});
  }
}

void StoreRelay::send(Endpoint const &To, StoreUpdate Update) {
  Update.Origin_ = Settings_.Self_.Id_;
  Update.ReplyTo_ = Settings_.Self_.Peers_;
  Actions_.emplace_back(SendToPeer{To, std::move(Update)});
}

void StoreRelay::requestSnapshot(FollowedCollection &Entry,
                                 Endpoint const &To) {
  if (Now_ < Entry.NextRequestAt_)
    return;
  Entry.NextRequestAt_ = Now_ + RequestInterval;
  Actions_.emplace_back(
      SendToPeer{To, SnapshotRequest{Settings_.Self_.Peers_,
                                     {Entry.State_.collection()}}});
}

/// Requests the collections not known yet from random other instances.
void StoreRelay::requestMissing() {
  if (Now_ < NextRequestAt_ || Live_.size() < 2)
    return;
  SnapshotRequest Request{Settings_.Self_.Peers_, {}};
  for (auto const &Entry : FollowedCollections_)
    if (Entry.State_.version() == 0)
      Request.Collections_.push_back(Entry.State_.collection());
  if (Request.Collections_.empty())
    return;
  NextRequestAt_ = Now_ + RequestInterval;
  std::vector<EntryInstance> Asked;
  std::sample(Live_.begin() + 1, Live_.end(), std::back_inserter(Asked),
              SnapshotRequestsAtStart, Generator_);
  for (auto const &Entry : Asked)
    Actions_.emplace_back(SendToPeer{Entry.Peers_, Request});
}

} // namespace laburnum
