#include <LibPlacement/LeaseHolder.h>

#include <LibCore/Hash.h>
#include <LibPlacement/LeaseRecord.h>

#include <algorithm>
#include <string_view>

namespace laburnum {

using namespace lease;

namespace {

/// Limit on how often the poll period doubles for candidates of low rank.
constexpr std::size_t MaxDoublings = 10;
/// The rank of an instance that has not received the live members yet.
constexpr std::size_t UnknownRank = 1000;

/// Whether a holder, "INCARNATION/NONCE", is one of the incarnations that are
/// the prefix and a text without a dot.
bool isIncarnationOf(std::string_view Holder, std::string_view Prefix) {
  auto const Incarnation = Holder.substr(0, Holder.rfind('/'));
  return !Prefix.empty() && Incarnation.starts_with(Prefix) &&
         Incarnation.find('.', Prefix.size()) == std::string_view::npos;
}

} // namespace

ObjectKey lease::leaseKey() { return {"lease", "controller"}; }

LeaseHolder::LeaseHolder(lease::Settings Settings)
    : Settings_(std::move(Settings)), Nonces_(Settings_.Seed_),
      Incarnation_(Settings_.Self_.text() + "/" + Nonces_.next()),
      Rank_(UnknownRank) {}

std::vector<Action> LeaseHolder::handle(Event const &Event, TimePoint Now) {
  Now_ = Now;
  Actions_.clear();
  std::visit([&](auto const &Each) { on(Each); }, Event);
  return std::move(Actions_);
}

std::optional<HeldLease> LeaseHolder::held(TimePoint Now) const {
  if (!Held_ || Now >= Held_->ValidUntil_)
    return std::nullopt;
  return Held_;
}

void LeaseHolder::on(TimePassed const & /*Event*/) {
  if (Held_ && Now_ >= Held_->ValidUntil_)
    lose();
  if (IsAwaited_ || !IsCandidate_)
    return;
  if (Held_ && UnresolvedWrites_.empty()) {
    if (Now_ >= NextRenewal_)
      write(Observed_->Object_.Version_);
    return;
  }
  // Watching another holder does not need the latest state: a version that is
  // seen late only delays the takeover, and the conditional update of a
  // takeover from an old version fails.
  bool const IsWatching = !Held_ && UnresolvedWrites_.empty();
  if (Now_ >= NextRead_)
    read(IsWatching ? ReadConsistency::MayLag : ReadConsistency::Latest);
}

void LeaseHolder::on(LeaseRead const &Event) {
  IsAwaited_ = false;
  NextRead_ = Now_ + pollPeriod();
  if (Observed_ && Event.Object_.Era_ > Observed_->Object_.Era_)
    return onRestored(Event.Object_);
  if (Observed_ && (Event.Object_.Era_ < Observed_->Object_.Era_ ||
                    Event.Object_.Version_ < Observed_->Object_.Version_))
    return readSoon(); // A stale read.
  observe(Event.Object_);
  if (!Held_)
    challenge();
}

/// The store came back from an older copy, in which this instance's lease or
/// another holder's may be missing. Only who certainly holds the lease may
/// write at once; the others wait until any lease of the earlier era has ended.
void LeaseHolder::onRestored(StoredObject const &Object) {
  bool const IsHolder = held(Now_).has_value();
  RestoredAt_ = Now_;
  UnresolvedWrites_.clear();
  Observed_ = Observation{Object, Now_};
  if (Held_)
    lose();
  if (IsHolder && IsCandidate_)
    write(Object.Version_);
}

void LeaseHolder::on(ReadFailed const & /*Event*/) {
  IsAwaited_ = false;
  readSoon();
}

void LeaseHolder::on(LeaseWritten const &Event) {
  IsAwaited_ = false;
  if (UnresolvedWrites_.empty())
    return readSoon(); // The lease was released during the write.
  auto const Sent = UnresolvedWrites_.back();
  Observed_ = Observation{{leaseKey(), Event.Version_,
                           encodeLease({Incarnation_, Sent.Nonce_}),
                           eraOf(Event.Version_)},
                          Now_};
  confirmWrite(Sent, Event.Version_);
}

/// The object has a newer version, perhaps from an earlier write of this
/// instance whose answer was lost. A read resolves this.
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
  for (auto const &Peer : Event.Members_)
    if (Peer.Liveness_ == Liveness::Live)
      Live.push_back(Peer.Instance_.Id_);
  auto const Order = rendezvousOrder(
      leaseKey().Name_, Live, [](InstanceId const &Id) { return Id.text(); });
  auto const Found = std::find(Order.begin(), Order.end(), Settings_.Self_);
  IsCandidate_ = Found != Order.end();
  Rank_ = static_cast<std::size_t>(Found - Order.begin());
  if (Observed_)
    NextRead_ = std::min(NextRead_, Now_ + pollPeriod());
  else
    NextRead_ = Now_ + (Rank_ == 0 || Settings_.FirstRead_ == FirstRead::AtOnce
                            ? Duration(0)
                            : pollPeriod());
}

void LeaseHolder::on(lease::FencedOut const & /*Event*/) {
  UnresolvedWrites_.clear();
  if (Held_)
    lose();
}

/// Records when a version is first seen. Writes of this instance are recognised
/// by their nonces.
void LeaseHolder::observe(StoredObject const &Object) {
  if (!Observed_ || Object.Version_ > Observed_->Object_.Version_)
    Observed_ = Observation{Object, Now_};
  if (Object.Version_ <= UnresolvedExpected_ && !UnresolvedWrites_.empty()) {
    // The write has not arrived yet; the next one expects the same version.
    if (Held_)
      write(Object.Version_);
    return;
  }
  auto const Record = decodeLease(Object.Value_);
  auto const Mine = std::find_if(
      UnresolvedWrites_.begin(), UnresolvedWrites_.end(),
      [&](UnresolvedWrite const &Write) {
        return !isError(Record) && Write.Nonce_ == valueOf(Record).Nonce_;
      });
  if (Mine != UnresolvedWrites_.end())
    return confirmWrite(UnresolvedWrite(*Mine), Object.Version_);
  UnresolvedWrites_.clear();
  bool const IsMine =
      !isError(Record) && valueOf(Record).Holder_ == Incarnation_;
  if (Held_ && !IsMine)
    lose();
}

void LeaseHolder::confirmWrite(UnresolvedWrite const &Write,
                               Version NewVersion) {
  UnresolvedWrites_.clear();
  auto const Until = Write.SentAt_ + Settings_.Length_;
  if (Now_ >= Until) {
    if (Held_)
      lose();
    return readSoon();
  }
  if (!Held_)
    Held_ = HeldLease{NewVersion, Now_, Until};
  Held_->ValidUntil_ = std::max(Held_->ValidUntil_, Until);
  NextRenewal_ = Write.SentAt_ + Settings_.RenewPeriod_;
  Actions_.emplace_back(LeaseChanged{});
}

void LeaseHolder::challenge() {
  if (!IsAwaited_ && IsCandidate_ && mayTakeOver())
    write(Observed_->Object_.Version_);
}

/// A lease that was last written by this incarnation or a previous one of this
/// instance has no other holder.
bool LeaseHolder::mayTakeOver() const {
  if (RestoredAt_ &&
      Now_ - *RestoredAt_ < Settings_.Length_ + Settings_.Margin_)
    return false;
  if (Observed_->Object_.Version_ == 0)
    return true;
  auto const Record = decodeLease(Observed_->Object_.Value_);
  if (!isError(Record)) {
    auto const &Holder = valueOf(Record).Holder_;
    if (Holder == Incarnation_ ||
        isIncarnationOf(Holder.text(), Settings_.PreviousIncarnations_))
      return true;
  }
  return Now_ - Observed_->Since_ >= Settings_.Length_ + Settings_.Margin_;
}

void LeaseHolder::read(ReadConsistency Consistency) {
  IsAwaited_ = true;
  Actions_.emplace_back(ReadLease{Consistency});
}

void LeaseHolder::write(Version Expected) {
  if (UnresolvedExpected_ != Expected)
    UnresolvedWrites_.clear();
  UnresolvedExpected_ = Expected;
  UnresolvedWrites_.push_back({Nonce(Nonces_.next()), Now_});
  IsAwaited_ = true;
  Actions_.emplace_back(WriteLease{
      Expected, encodeLease({Incarnation_, UnresolvedWrites_.back().Nonce_})});
}

void LeaseHolder::forgetLastWrite() {
  if (!UnresolvedWrites_.empty())
    UnresolvedWrites_.pop_back();
}

void LeaseHolder::lose() {
  Held_.reset();
  readSoon();
  Actions_.emplace_back(LeaseChanged{});
}

void LeaseHolder::readSoon() {
  bool const IsUrgent = Held_ || !UnresolvedWrites_.empty();
  NextRead_ = Now_ + (IsUrgent ? Settings_.RetryPause_ : pollPeriod());
}

Duration LeaseHolder::pollPeriod() const {
  auto const First = std::max(Settings_.FirstCandidates_, 1U);
  auto const Doublings =
      Rank_ < First ? 0 : std::min(Rank_ - First + 1, MaxDoublings);
  return Settings_.PollPeriod_ * (1U << Doublings);
}

} // namespace laburnum
