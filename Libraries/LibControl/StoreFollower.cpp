#include <LibControl/StoreFollower.h>

#include <utility>

namespace laburnum {

namespace {

constexpr std::chrono::milliseconds TickPeriod{50};
constexpr std::chrono::milliseconds ListTimeout{1500};

relay::Settings
relaySettings(EntryInstance Self, std::uint64_t Seed,
              std::map<std::string, CollectionReader *> const &Readers) {
  relay::Settings Settings{std::move(Self), {}, Seed};
  for (auto const &[Collection, Reader] : Readers)
    Settings.Collections_.push_back(Collection);
  return Settings;
}

/// Converts the answer to Read, or its error to ReadFailed.
template <typename Read, typename Value>
relay::ReadOutcome outcomeOf(Result<Value> Answer) {
  if (isError(Answer))
    return relay::ReadFailed{errorOf(Answer)};
  return Read{takeValue(std::move(Answer))};
}

} // namespace

StoreFollower::StoreFollower(asio::io_context &Context, AsyncObjectStore &Store,
                             EntryInstance Self, std::uint64_t Seed,
                             Callbacks Callbacks)
    : Store_(Store), Callbacks_(std::move(Callbacks)),
      Relay_(relaySettings(std::move(Self), Seed, Callbacks_.Readers_)),
      Timer_(Context) {}

void StoreFollower::start() { tick(); }

void StoreFollower::stop() {
  IsStopped_ = true;
  Timer_.cancel();
}

void StoreFollower::tick() {
  perform(Relay_.tick(readBootClock()));
  Timer_.expires_after(TickPeriod);
  Timer_.async_wait([Self = shared_from_this()](asio::error_code Failure) {
    if (!Failure && !Self->IsStopped_)
      Self->tick();
  });
}

void StoreFollower::setMembers(std::vector<Member> const &Members) {
  perform(Relay_.setMembers(Members, readBootClock()));
}

void StoreFollower::onStoreUpdate(StoreUpdate const &Update) {
  perform(Relay_.onStoreUpdate(Update, readBootClock()));
}

void StoreFollower::onRequest(SnapshotRequest const &Request) {
  perform(Relay_.onRequest(Request, readBootClock()));
}

void StoreFollower::onRead(std::string const &Collection,
                           relay::ReadOutcome const &Outcome) {
  if (!IsStopped_)
    perform(Relay_.onRead(Collection, Outcome, readBootClock()));
}

void StoreFollower::perform(std::vector<relay::Action> const &Actions) {
  for (auto const &Action : Actions)
    std::visit([this](auto const &Kind) { on(Kind); }, Action);
}

void StoreFollower::on(SendToPeer const &Action) { Callbacks_.Send_(Action); }

void StoreFollower::on(relay::ListCollection const &Action) {
  Store_.list(Action.Collection_, ReadConsistency::Latest, ListTimeout,
              [Self = shared_from_this(),
               Collection = Action.Collection_](Result<ObjectList> Answer) {
                Self->onRead(Collection,
                             outcomeOf<relay::Listed>(std::move(Answer)));
              });
}

void StoreFollower::on(relay::WatchCollection const &Action) {
  Store_.watch(Action.Collection_, Action.From_, Action.Wait_,
               [Self = shared_from_this(),
                Collection = Action.Collection_](Result<WatchBatch> Answer) {
                 Self->onRead(Collection,
                              outcomeOf<relay::Watched>(std::move(Answer)));
               });
}

void StoreFollower::on(relay::CollectionReplaced const &Action) {
  Callbacks_.Readers_.at(Action.Collection_)->onListed(Action.All_);
}

void StoreFollower::on(relay::CollectionChanged const &Action) {
  Callbacks_.Readers_.at(Action.Collection_)->onChanged(Action.Changes_);
}

void StoreFollower::on(relay::CollectionConfirmed const &Action) {
  Callbacks_.Readers_.at(Action.Collection_)->onCurrent(Action.Version_);
}

void StoreFollower::on(relay::StoreLost const &Action) {
  Callbacks_.Readers_.at(Action.Collection_)->onLost(Action.Reason_);
}

void StoreFollower::on(relay::StoreRegained const &Action) {
  Callbacks_.Readers_.at(Action.Collection_)->onRegained();
}

void StoreFollower::on(relay::ReaderRoleChanged const &Action) {
  Callbacks_.ReaderRoleChanged_(Action);
}

} // namespace laburnum
