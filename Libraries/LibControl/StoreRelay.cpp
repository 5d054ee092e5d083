#include <LibControl/StoreRelay.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace laburnum {

using namespace relay;

namespace {

/// Instances that read the store for all. Two, in different data centres, so
/// that the loss of one, or of one with its data centre, is not noticed.
constexpr std::size_t Readers = 2;
/// How long one watch waits. A store that falls silent is noticed when the
/// answer is overdue; each watch that ends is a call that is paid for.
constexpr std::chrono::milliseconds WatchWait{2500};
/// A watch that is older than its wait by this much is no sign that nothing
/// has changed.
constexpr std::chrono::milliseconds WatchOverdue{200};
/// After a change, so that others that come with it cost one call together.
constexpr std::chrono::milliseconds BatchPause{400};
/// The same for the second reader, as long as the first one is heard: each
/// change is told by the first, and costs the second no call of its own.
constexpr std::chrono::milliseconds SecondPause{2000};
/// The first one's word comes with each beat; without it for longer the second
/// reader watches at once.
constexpr std::chrono::milliseconds SecondPatience{700};
/// How often readers say that nothing has changed.
constexpr std::chrono::milliseconds BeatPeriod{500};
/// Without word for longer an instance reads for itself: two beats of all
/// readers are missing then, and a list still comes in time for a configuration
/// that has to be in force 2.5 s after it was accepted.
constexpr std::chrono::milliseconds LeastPatience{1200};
/// What each place in the order adds, up to the limit: a list takes about as
/// long, so that the first ones' news spare the next ones theirs.
constexpr std::chrono::milliseconds PatiencePerPlace{25};
constexpr std::chrono::milliseconds MostAddedPatience{600};
/// An instance that finds no other at its start waits this long: when a whole
/// system starts for the first time, nobody is registered yet.
constexpr std::chrono::milliseconds AlonePatience{600};
/// Others that it finds may all have started with it. Of a small fleet each
/// reads at once; of a larger one each gives the others the time of an answer
/// between regions and a random part of what each instance beyond these adds.
constexpr std::size_t MostStartReaders = 12;
constexpr std::chrono::milliseconds AnswerTime{40};
constexpr std::chrono::milliseconds StartPatiencePerInstance{10};
/// How many are asked at once, as some may be gone.
constexpr std::size_t AskedAtStart = 2;
/// How long an instance goes on that began to read for want of news: until
/// membership has noticed which readers are lost and others read by rank.
constexpr std::chrono::seconds WantLength{6};
/// An instance that was not run for this long does not vouch for what it holds.
constexpr std::chrono::milliseconds LongestStep{1000};
/// Pauses between tries while the store does not answer, by those who read for
/// all ...
constexpr std::chrono::milliseconds FirstPause{50};
constexpr std::chrono::milliseconds LongestPause{400};
constexpr std::uint32_t MostDoublings = 3;
/// ... and by those who read for want of news: as all do so then, what they ask
/// together does not grow with the fleet.
constexpr std::chrono::milliseconds PausePerInstance{15};
/// Between two requests for what is missing.
constexpr std::chrono::milliseconds AskPause{150};
/// Up to this many instances are told directly.
constexpr std::size_t MostDirect = 8;
/// What an origin said so long ago is forgotten.
constexpr std::chrono::seconds ClaimRetention{60};

} // namespace

StoreRelay::StoreRelay(relay::Settings Settings)
    : Settings_(std::move(Settings)),
      Generator_(Settings_.Seed_), Live_{Settings_.Self_},
      Tree_(Settings_.Self_) {
  for (auto const &Collection : Settings_.Collections_)
    Followed_.emplace_back(Collection);
  StartPart_ = std::uniform_real_distribution<double>()(Generator_);
}

std::vector<Action> StoreRelay::take() { return std::exchange(Actions_, {}); }

StoreRelay::Followed *StoreRelay::find(std::string const &Collection) {
  auto const Found = std::find_if(
      Followed_.begin(), Followed_.end(), [&](Followed const &One) {
        return One.State_.collection() == Collection;
      });
  return Found == Followed_.end() ? nullptr : &*Found;
}

std::vector<Action> StoreRelay::tick(TimePoint Now) {
  Now_ = Now;
  if (!StartedAt_)
    StartedAt_ = Now;
  // Watches that were open over a pause may have been answered or lost.
  if (LastTick_ && Now - *LastTick_ > LongestStep)
    for (auto &One : Followed_)
      One.WatchSince_.reset();
  LastTick_ = Now;
  chooseReading();
  read();
  beat();
  askSomebody();
  for (auto &One : Followed_)
    std::erase_if(One.Claims_, [&](auto const &Claim) {
      return Claim.second + ClaimRetention < Now;
    });
  return take();
}

// Who reads.

std::vector<Action> StoreRelay::setMembers(std::vector<Member> const &Members,
                                           TimePoint Now) {
  Now_ = Now;
  Live_ = liveInstances(Settings_.Self_, Members);
  auto const Order = rendezvousOrder("store-readers", Live_, placeName);
  Place_ = static_cast<std::size_t>(
      std::find(Order.begin(), Order.end(), Settings_.Self_) - Order.begin());
  if (!OthersKnownAt_ && Live_.size() > 1)
    OthersKnownAt_ = Now;
  // The first of each data centre come before the second of any.
  Chosen_.clear();
  std::set<DataCentre> Centres;
  for (auto const &One : Order)
    if (Chosen_.size() < Readers && Centres.insert(One.DataCentre_).second)
      Chosen_.insert(One.Peers_);
  for (auto const &One : Order)
    if (Chosen_.size() < Readers)
      Chosen_.insert(One.Peers_);
  Tree_.setMembers(Live_, Chosen_);
  if (StartedAt_)
    chooseReading();
  read();
  askSomebody();
  return take();
}

/// Whether an instance that has been told nothing yet reads for itself.
bool StoreRelay::isStartOver() const {
  if (!OthersKnownAt_)
    return Now_ - *StartedAt_ > AlonePatience;
  if (Live_.size() <= MostStartReaders)
    return true;
  auto const Added =
      StartPatiencePerInstance * (Live_.size() - MostStartReaders) * StartPart_;
  return Now_ - *OthersKnownAt_ >
         AnswerTime + std::chrono::duration_cast<Duration>(Added);
}

/// Whether news are missing for so long that others, who waited less, would
/// have made them come.
bool StoreRelay::isInWant(Duration NewsAge) {
  if (NewsAge <= LeastPatience) {
    InWantSince_.reset();
    return false;
  }
  if (!InWantSince_)
    InWantSince_ = Now_;
  return Now_ >= *InWantSince_ + std::min<Duration>(PatiencePerPlace * Place_,
                                                    MostAddedPatience);
}

/// Since when others have last shown that what is held is the store's latest
/// state, of the collection for which that is longest ago.
std::optional<TimePoint> StoreRelay::heardAt() const {
  std::optional<TimePoint> Oldest = Now_;
  for (auto const &One : Followed_) {
    auto const At = One.claimedAt();
    Oldest = At && Oldest ? std::min(At, Oldest) : std::nullopt;
  }
  return Oldest;
}

std::optional<TimePoint> StoreRelay::Followed::claimedAt() const {
  std::optional<TimePoint> Newest;
  for (auto const &[Origin, At] : Claims_)
    Newest = Newest ? std::max(*Newest, At) : At;
  return Newest;
}

/// Whether as many others read as are needed. Where all began to read for want
/// of news, this ends it for all but the first.
bool StoreRelay::haveOthersEnough() const {
  return std::all_of(
      Followed_.begin(), Followed_.end(), [&](Followed const &One) {
        auto const Fresh = std::count_if(
            One.Claims_.begin(), One.Claims_.end(), [&](auto const &Claim) {
              return Claim.second + LeastPatience >= Now_;
            });
        return static_cast<std::size_t>(Fresh) >= Readers;
      });
}

void StoreRelay::chooseReading() {
  auto const HeardAt = heardAt();
  auto const NewsAge = Now_ - HeardAt.value_or(*StartedAt_);
  if (HeardAt ? isInWant(NewsAge) : isStartOver())
    WantUntil_ = Now_ + WantLength;
  else if (haveOthersEnough())
    WantUntil_.reset();
  bool const IsWanting = WantUntil_ && Now_ < *WantUntil_;
  // Before the others are known the place in their order says nothing.
  bool const IsReader =
      Chosen_.contains(Settings_.Self_.Peers_) && (HeardAt || IsWanting);
  auto const Chosen = IsReader    ? Reading::ByRank
                      : IsWanting ? Reading::ForWant
                                  : Reading::None;
  if (Chosen == Reading_)
    return;
  if (Reading_ == Reading::None)
    for (auto &One : Followed_)
      One.NeedsList_ = true;
  Reading_ = Chosen;
  Actions_.emplace_back(ReadingChanged{Chosen, NewsAge, Live_.size()});
}

// Reading the store.

void StoreRelay::read() {
  if (Reading_ == Reading::None)
    return;
  for (auto &One : Followed_) {
    if (One.IsAwaited_ || Now_ < One.NotBefore_)
      continue;
    if (Now_ < One.LeftUntil_ &&
        One.claimedAt().value_or(TimePoint::min()) + SecondPatience >= Now_)
      continue;
    One.IsAwaited_ = true;
    auto const &Collection = One.State_.collection();
    if (One.NeedsList_) {
      Actions_.emplace_back(ListCollection{Collection});
      continue;
    }
    One.WatchSince_ = Now_;
    One.WatchFrom_ = One.State_.version();
    Actions_.emplace_back(
        WatchCollection{Collection, One.WatchFrom_, WatchWait});
  }
}

std::vector<Action> StoreRelay::onRead(std::string const &Collection,
                                       ReadOutcome const &Outcome,
                                       TimePoint Now) {
  Now_ = Now;
  auto *const One = find(Collection);
  if (!One)
    return {};
  One->IsAwaited_ = false;
  One->WatchSince_.reset();
  if (auto const *const List = std::get_if<Listed>(&Outcome))
    listed(*One, List->List_);
  else if (auto const *const Batch = std::get_if<Watched>(&Outcome))
    watched(*One, Batch->Batch_);
  else
    failed(*One, std::get<ReadFailed>(Outcome).Reason_);
  read();
  return take();
}

void StoreRelay::listed(Followed &One, ObjectList const &List) {
  succeeded(One);
  One.NeedsList_ = false;
  if (List.StoreVersion_ < One.State_.version())
    return; // Others' news came meanwhile; the next watch goes on from there.
  One.OwnAt_ = Now_;
  auto News = One.State_.difference(List);
  apply(One, News);
  confirm(One);
  if (News.From_ == 0 || !News.Objects_.empty())
    tell({std::move(News)});
  NextBeat_ = Now_; // Others may be about to read for want of news.
}

void StoreRelay::watched(Followed &One, WatchBatch const &Batch) {
  succeeded(One);
  if (Batch.Continuity_ == WatchContinuity::Gap) {
    One.NeedsList_ = true;
    return;
  }
  // Who knows what was held before can go on, whatever version that was at.
  auto const From = std::min(One.WatchFrom_, One.State_.unchangedSince());
  CollectionNews News{
      One.State_.collection(), From, Batch.StoreVersion_, {}, {}};
  for (auto const &Object : Batch.Objects_)
    News.Objects_.push_back(newsOf(Object));
  apply(One, News);
  if (Batch.StoreVersion_ >= One.State_.unchangedSince())
    One.OwnAt_ = Now_;
  confirm(One);
  if (Batch.Objects_.empty())
    return;
  One.NotBefore_ = Now_ + BatchPause;
  bool const IsFirst = Reading_ == Reading::ByRank && Place_ == 0;
  One.LeftUntil_ = IsFirst ? Now_ : Now_ + SecondPause;
  tell({std::move(News)});
}

void StoreRelay::failed(Followed &One, Error const &Reason) {
  if (One.Failures_++ == 0) {
    Actions_.emplace_back(StoreLost{One.State_.collection(), Reason});
    OwesDoubt_ = Reading_ == Reading::ByRank;
    NextBeat_ = Now_;
  }
  // A watch that is cut may have missed changes whose history is gone, and the
  // store may then keep a watch from the old version waiting.
  One.NeedsList_ = true;
  Duration Longest = std::min<Duration>(
      LongestPause,
      FirstPause * (1U << std::min(One.Failures_ - 1, MostDoublings)));
  if (Reading_ == Reading::ForWant)
    Longest = std::max<Duration>(Longest, PausePerInstance * Live_.size());
  std::uniform_int_distribution<Duration::rep> Spread(Longest.count() / 2,
                                                      Longest.count());
  One.NotBefore_ = Now_ + Duration(Spread(Generator_));
}

void StoreRelay::succeeded(Followed &One) {
  if (std::exchange(One.Failures_, 0) > 0)
    Actions_.emplace_back(StoreRegained{One.State_.collection()});
}

// What is held.

bool StoreRelay::apply(Followed &One, CollectionNews const &News) {
  auto const &Collection = One.State_.collection();
  auto Outcome = One.State_.apply(News);
  if (std::holds_alternative<collection::Gap>(Outcome))
    return false;
  if (auto *const All = std::get_if<collection::Replaced>(&Outcome))
    Actions_.emplace_back(CollectionReplaced{Collection, std::move(All->All_)});
  else if (auto *const Some = std::get_if<collection::Applied>(&Outcome))
    if (!Some->Changes_.Objects_.empty())
      Actions_.emplace_back(
          CollectionChanged{Collection, std::move(Some->Changes_)});
  return true;
}

void StoreRelay::confirm(Followed &One) {
  Actions_.emplace_back(
      CollectionConfirmed{One.State_.collection(), One.State_.version()});
}

std::optional<TimePoint> StoreRelay::vouchedAt(Followed const &One) const {
  // A watch that is open says that nothing has changed since its version.
  if (One.WatchSince_ && One.WatchFrom_ >= One.State_.unchangedSince() &&
      Now_ < *One.WatchSince_ + WatchWait + WatchOverdue)
    return Now_;
  return One.OwnAt_;
}

std::optional<TimePoint> StoreRelay::confirmedAt(Followed const &One) const {
  auto const Own = vouchedAt(One);
  auto const Claimed = One.claimedAt();
  if (!Own || !Claimed)
    return Own ? Own : Claimed;
  return std::max(*Own, *Claimed);
}

// What others say, and what they are told.

std::vector<Action> StoreRelay::onNews(StoreNews const &News, TimePoint Now) {
  Now_ = Now;
  // An instance also has a place in its own tree.
  bool const IsOwn = News.Origin_ == Settings_.Self_.Id_;
  for (auto const &Each : News.Collections_) {
    auto *const One = find(Each.Collection_);
    if (!One || IsOwn || Each.Age_ < Duration(0))
      continue;
    if (!apply(*One, Each)) {
      ask(*One, News.ReplyTo_);
      continue;
    }
    // The sender does not know of the last change that is known here.
    if (Each.To_ < One->State_.unchangedSince())
      continue;
    One->Claims_[News.Origin_] = Now - Each.Age_;
    confirm(*One);
  }
  if (News.Spread_ == NewsSpread::Tree)
    passOn(News);
  return take();
}

std::vector<Action> StoreRelay::onRequest(StoreNewsRequest const &Request,
                                          TimePoint Now) {
  Now_ = Now;
  StoreNews Answer;
  for (auto const &Collection : Request.Collections_) {
    auto *const One = find(Collection);
    auto const At = One ? confirmedAt(*One) : std::nullopt;
    if (At && One->State_.version() != 0)
      Answer.Collections_.push_back(One->State_.whole(Now - *At));
  }
  if (!Answer.Collections_.empty())
    send(Request.ReplyTo_, std::move(Answer));
  return take();
}

void StoreRelay::beat() {
  if (Reading_ == Reading::None || Now_ < NextBeat_)
    return;
  NextBeat_ = Now_ + BeatPeriod;
  bool IsOfUse = std::exchange(OwesDoubt_, false);
  std::vector<CollectionNews> News;
  for (auto const &One : Followed_) {
    auto const At = vouchedAt(One);
    if (!At || One.State_.version() == 0)
      continue;
    IsOfUse |= Now_ - *At <= LeastPatience;
    News.push_back(One.State_.unchanged(Now_ - *At));
  }
  if (IsOfUse)
    tell(std::move(News));
}

void StoreRelay::tell(std::vector<CollectionNews> News) {
  if (Reading_ != Reading::ByRank && haveOthersEnough())
    return;
  StoreNews Told;
  Told.Number_ = ++Number_;
  Told.Collections_ = std::move(News);
  if (Live_.size() <= MostDirect) {
    for (auto const &One : Live_)
      if (One.Id_ != Settings_.Self_.Id_)
        send(One.Peers_, Told);
    return;
  }
  Told.Spread_ = NewsSpread::Tree;
  for (auto const &Child : Tree_.starts())
    send(Child, Told);
}

void StoreRelay::passOn(StoreNews const &News) {
  auto const Children = Tree_.receive(News.Origin_, News.Number_, Now_);
  if (!Children)
    return;
  for (auto const &Child : *Children) {
    auto Copy = News;
    Copy.ReplyTo_ = Settings_.Self_.Peers_;
    Actions_.emplace_back(SendToPeer{Child, std::move(Copy)});
  }
}

void StoreRelay::send(Endpoint const &To, StoreNews News) {
  News.Origin_ = Settings_.Self_.Id_;
  News.ReplyTo_ = Settings_.Self_.Peers_;
  Actions_.emplace_back(SendToPeer{To, std::move(News)});
}

void StoreRelay::ask(Followed &One, Endpoint const &Whom) {
  if (Now_ < One.NextAsk_)
    return;
  One.NextAsk_ = Now_ + AskPause;
  Actions_.emplace_back(
      SendToPeer{Whom, StoreNewsRequest{Settings_.Self_.Peers_,
                                        {One.State_.collection()}}});
}

/// An instance that has just started asks others, at random.
void StoreRelay::askSomebody() {
  if (Now_ < NextAsk_ || Live_.size() < 2)
    return;
  StoreNewsRequest Request{Settings_.Self_.Peers_, {}};
  for (auto const &One : Followed_)
    if (One.State_.version() == 0)
      Request.Collections_.push_back(One.State_.collection());
  if (Request.Collections_.empty())
    return;
  NextAsk_ = Now_ + AskPause;
  std::vector<EntryInstance> Asked;
  std::sample(Live_.begin() + 1, Live_.end(), std::back_inserter(Asked),
              AskedAtStart, Generator_);
  for (auto const &One : Asked)
    Actions_.emplace_back(SendToPeer{One.Peers_, Request});
}

} // namespace laburnum
