#include <LibPlacement/LeaseHolder.h>

#include <LibCore/Hash.h>
#include <LibPlacement/LeaseRecord.h>

#include <algorithm>

namespace laburnum {

using namespace lease;

namespace {

/// Candidates this far behind the first ones read as rarely as this one.
constexpr std::size_t MostDoublings = 10;
/// The place of an instance that has not heard of the live members yet.
constexpr std::size_t LastRank = 1000;

} // namespace

ObjectKey lease::leaseKey() { return {"lease", "controller"}; }

LeaseHolder::LeaseHolder(lease::Settings Settings)
    : Settings_(std::move(Settings)), Nonces_(Settings_.Seed_),
      Life_(Settings_.Self_.text() + "/" + Nonces_.next()), Rank_(LastRank) {}

std::vector<Action> LeaseHolder::handle(Event const &Event, TimePoint Now) {
  Now_ = Now;
  Actions_.clear();
  std::visit([&](auto const &Each) { on(Each); }, Event);
  return std::move(Actions_);
}

std::optional<HeldLease> LeaseHolder::held(TimePoint Now) const {
  if (!Held_ || Now >= Held_->ProvenUntil_)
    return std::nullopt;
  return Held_;
}

void LeaseHolder::on(TimePassed const & /*Event*/) {
  if (Held_ && Now_ >= Held_->ProvenUntil_)
    lose();
  if (IsAwaited_ || !IsCandidate_)
    return;
  if (Held_ && Unsettled_.empty()) {
    if (Now_ >= NextRenewal_)
      write(Seen_->Object_.Version_);
    return;
  }
  // A version that is shown late is dated late, and a takeover that goes by an
  // old one is refused: watching the holder needs no latest state.
  bool const IsWatching = !Held_ && Unsettled_.empty();
  if (Now_ >= NextRead_)
    read(IsWatching ? ReadConsistency::MayLag : ReadConsistency::Latest);
}

void LeaseHolder::on(LeaseRead const &Event) {
  IsAwaited_ = false;
  NextRead_ = Now_ + pollPeriod();
  if (Seen_ && Event.Object_.Version_ < Seen_->Object_.Version_)
    return readSoon(); // A stale read.
  observe(Event.Object_);
  if (!Held_)
    challenge();
}

void LeaseHolder::on(ReadFailed const & /*Event*/) {
  IsAwaited_ = false;
  readSoon();
}

void LeaseHolder::on(LeaseWritten const &Event) {
  IsAwaited_ = false;
  if (Unsettled_.empty())
    return readSoon(); // It was given up while the write was on its way.
  auto const Sent = Unsettled_.back();
  Seen_ = Observation{
      {leaseKey(), Event.Version_, encodeLease({Life_, Sent.Nonce_})}, Now_};
  proved(Sent, Event.Version_);
}

/// The object moved on, perhaps by an earlier write of this instance whose
/// answer was lost: reading tells.
void LeaseHolder::on(WriteRefused const & /*Event*/) {
  IsAwaited_ = false;
  forgetLastWrite();
  read(ReadConsistency::Latest);
}

void LeaseHolder::on(WriteFailed const & /*Event*/) {
  IsAwaited_ = false;
  forgetLastWrite();
  NextRenewal_ = Now_ + Settings_.RetryPause_;
  readSoon();
}

void LeaseHolder::on(WriteUnknown const & /*Event*/) {
  IsAwaited_ = false;
  read(ReadConsistency::Latest);
}

void LeaseHolder::on(lease::MembersChanged const &Event) {
  std::vector<InstanceId> Live;
  for (auto const &One : Event.Members_)
    if (One.Liveness_ == Liveness::Live)
      Live.push_back(One.Instance_.Id_);
  auto const Order = rendezvousOrder(
      leaseKey().Name_, Live, [](InstanceId const &Id) { return Id.text(); });
  auto const Found = std::find(Order.begin(), Order.end(), Settings_.Self_);
  IsCandidate_ = Found != Order.end();
  Rank_ = static_cast<std::size_t>(Found - Order.begin());
  if (Seen_)
    NextRead_ = std::min(NextRead_, Now_ + pollPeriod());
  else
    NextRead_ = Now_ + (Rank_ == 0 || Settings_.FirstRead_ == FirstRead::AtOnce
                            ? Duration(0)
                            : pollPeriod());
}

void LeaseHolder::on(lease::StepDown const & /*Event*/) {
  Unsettled_.clear();
  if (Held_)
    lose();
}

/// A version is dated when it is first seen. A write of this instance is
/// recognised by its nonce.
void LeaseHolder::observe(StoredObject const &Object) {
  if (!Seen_ || Object.Version_ > Seen_->Object_.Version_)
    Seen_ = Observation{Object, Now_};
  if (Object.Version_ <= UnsettledExpected_ && !Unsettled_.empty()) {
    // Not there yet; the next write expects the same version.
    if (Held_)
      write(Object.Version_);
    return;
  }
  auto const Record = decodeLease(Object.Value_);
  auto const Mine = std::find_if(
      Unsettled_.begin(), Unsettled_.end(), [&](SentWrite const &One) {
        return !isError(Record) && One.Nonce_ == valueOf(Record).Nonce_;
      });
  if (Mine != Unsettled_.end())
    return proved(SentWrite(*Mine), Object.Version_);
  Unsettled_.clear();
  bool const IsMine = !isError(Record) && valueOf(Record).Holder_ == Life_;
  if (Held_ && !IsMine)
    lose();
}

void LeaseHolder::proved(SentWrite const &Write, Version Made) {
  Unsettled_.clear();
  auto const Until = Write.SentAt_ + Settings_.Length_;
  if (Now_ >= Until) {
    if (Held_)
      lose();
    return readSoon();
  }
  if (!Held_)
    Held_ = HeldLease{Made, Now_, Until};
  Held_->ProvenUntil_ = std::max(Held_->ProvenUntil_, Until);
  NextRenewal_ = Write.SentAt_ + Settings_.RenewPeriod_;
  Actions_.emplace_back(LeaseChanged{});
}

void LeaseHolder::challenge() {
  if (!IsAwaited_ && IsCandidate_ && mayTakeOver())
    write(Seen_->Object_.Version_);
}

/// A lease that this instance wrote last, in this life or an earlier one, has
/// no other holder.
bool LeaseHolder::mayTakeOver() const {
  if (Seen_->Object_.Version_ == 0)
    return true;
  auto const Record = decodeLease(Seen_->Object_.Value_);
  if (!isError(Record)) {
    auto const &Holder = valueOf(Record).Holder_;
    if (Holder == Life_ || (!Settings_.EarlierLives_.empty() &&
                            Holder.text().starts_with(Settings_.EarlierLives_)))
      return true;
  }
  return Now_ - Seen_->Since_ >= Settings_.Length_ + Settings_.Margin_;
}

void LeaseHolder::read(ReadConsistency Consistency) {
  IsAwaited_ = true;
  Actions_.emplace_back(ReadLease{Consistency});
}

void LeaseHolder::write(Version Expected) {
  if (UnsettledExpected_ != Expected)
    Unsettled_.clear();
  UnsettledExpected_ = Expected;
  Unsettled_.push_back({Nonce(Nonces_.next()), Now_});
  IsAwaited_ = true;
  Actions_.emplace_back(
      WriteLease{Expected, encodeLease({Life_, Unsettled_.back().Nonce_})});
}

void LeaseHolder::forgetLastWrite() {
  if (!Unsettled_.empty())
    Unsettled_.pop_back();
}

void LeaseHolder::lose() {
  Held_.reset();
  readSoon();
  Actions_.emplace_back(LeaseChanged{});
}

void LeaseHolder::readSoon() {
  bool const IsUrgent = Held_ || !Unsettled_.empty();
  NextRead_ = Now_ + (IsUrgent ? Settings_.RetryPause_ : pollPeriod());
}

Duration LeaseHolder::pollPeriod() const {
  auto const First = std::max(Settings_.FirstCandidates_, 1U);
  auto const Doublings =
      Rank_ < First ? 0 : std::min(Rank_ - First + 1, MostDoublings);
  return Settings_.PollPeriod_ * (1U << Doublings);
}

} // namespace laburnum
