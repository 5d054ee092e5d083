#include <LibServing/ClaimBucketWriter.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

/// Outcomes that wait for the platform beyond this are dropped, the oldest
/// first; their claims then stay intents, which is safe.
constexpr std::size_t MaximumWaitingOutcomes = 1000;

ClaimState stateFor(RunState State) {
  return State == RunState::NotRun ? ClaimState::NotRun : ClaimState::Done;
}

/// What stands in for an answer that was not kept.
PlainAnswer answerNotKept(std::int32_t Status) {
  nlohmann::json const Body = {
      {"answer_kept", false},
      {"status", Status},
      {"run_state", "ran"},
      {"remedy", "ask the service for the result; the call ran once"}};
  return {Status, "application/json", Body.dump()};
}

bool isDefiniteRefusal(ErrorKind Kind) {
  return Kind == ErrorKind::Unavailable ||
         Kind == ErrorKind::ResourceExhausted ||
         Kind == ErrorKind::InvalidArgument;
}

} // namespace

ClaimBucketWriter::ClaimBucketWriter(ObjectKey Bucket,
                                     ClaimJournalSettings const &Settings,
                                     std::uint64_t Seed)
    : Bucket_(std::move(Bucket)), Settings_(Settings), Names_(Seed) {}

void ClaimBucketWriter::on(claims::ClaimWanted const &Event, TimePoint Now,
                           Actions &Out) {
  Waiting_.push_back(
      {Event, {Event.Account_, Event.Key_}, Nonce(Names_.next())});
  advance(Now, Out);
}

void ClaimBucketWriter::on(claims::OutcomeKnown const &Event, TimePoint Now,
                           Actions &Out) {
  ClaimId const Id{Event.Account_, Event.Key_};
  auto const Found = Held_.find(Id);
  if (Found == Held_.end())
    return;
  auto const Holder = Found->second;
  Held_.erase(Found);
  // The intent already says that the call may have run.
  if (Event.Outcome_.RunState_ == RunState::MayHaveRun)
    return;
  if (Outcomes_.size() >= MaximumWaitingOutcomes)
    Outcomes_.pop_front();
  Outcomes_.push_back(
      {Id, Holder, stateFor(Event.Outcome_.RunState_), Event.Outcome_.Answer_});
  advance(Now, Out);
}

void ClaimBucketWriter::on(claims::BucketRead const &Event, TimePoint Now,
                           Actions &Out) {
  if (Phase_ != Phase::Reading)
    return;
  Phase_ = Phase::Idle;
  if (isError(Event.Object_)) {
    HoldUntil_ = Now + Settings_.Pause_;
    return refuseUndoubted(Out);
  }
  auto const &Object = valueOf(Event.Object_);
  auto Decoded = ClaimBucket::decode(Object.Value_);
  if (isError(Decoded)) {
    HoldUntil_ = Now + Settings_.Pause_;
    return refuseUndoubted(Out);
  }
  // An older version than one that was seen is a stale read: it shows nothing.
  if (Object.Version_ < NewestSeen_)
    ReadAgainAt_ = Now + Settings_.Pause_;
  else
    acceptRead({Object.Version_, takeValue(std::move(Decoded))}, Now, Out);
  advance(Now, Out);
}

void ClaimBucketWriter::on(claims::BucketWritten const &Event, TimePoint Now,
                           Actions &Out) {
  if (Phase_ != Phase::Writing || Event.Nonce_ != Write_)
    return;
  Phase_ = Phase::Idle;
  if (!isError(Event.Version_)) {
    onTakenEffect(valueOf(Event.Version_), Now, Out);
    return advance(Now, Out);
  }
  auto const Kind = errorOf(Event.Version_).Kind_;
  if (isDefiniteRefusal(Kind)) {
    requeue(Fate::NotMade);
    HoldUntil_ = Now + Settings_.Pause_;
    IsDoubtReadDue_ = DoubtfulBase_.has_value();
    return refuseUndoubted(Out);
  }
  if (Kind == ErrorKind::Conflict) {
    requeue(Fate::NotMade);
    IsDoubtReadDue_ = DoubtfulBase_.has_value();
    NewestSeen_ = Known_->Version_ + 1;
    if (!DoubtfulBase_)
      Known_.reset();
    return advance(Now, Out);
  }
  requeue(Fate::Doubtful);
  // The first doubt is looked into at once, the next ones after a pause.
  if (DoubtfulBase_)
    HoldUntil_ = Now + Settings_.Pause_;
  DoubtfulBase_ = Known_->Version_;
  IsDoubtReadDue_ = true;
  advance(Now, Out);
}

void ClaimBucketWriter::on(claims::TimePassed const &, TimePoint Now,
                           Actions &Out) {
  expire(Now, Out);
  advance(Now, Out);
}

void ClaimBucketWriter::advance(TimePoint Now, Actions &Out) {
  if (Phase_ != Phase::Idle)
    return;
  expire(Now, Out);
  if (!hasWork(Now))
    return;
  if (needsRead())
    return read(Out);
  write(Out);
}

/// New claims are tried at once, also during a hold: the platform's refusal is
/// then their verdict. Doubt and outcomes wait for the end of the hold.
bool ClaimBucketWriter::hasWork(TimePoint Now) const {
  if (needsRead() && Now < ReadAgainAt_)
    return false;
  if (Now >= HoldUntil_)
    return DoubtfulBase_ || !Waiting_.empty() || !Outcomes_.empty();
  return !DoubtfulBase_ && !Waiting_.empty();
}

bool ClaimBucketWriter::needsRead() const {
  return !Known_ || (DoubtfulBase_ && IsDoubtReadDue_);
}

void ClaimBucketWriter::read(Actions &Out) {
  Phase_ = Phase::Reading;
  for (auto &Wanted : Waiting_)
    Wanted.Freshness_ = Freshness::Read;
  Out.emplace_back(claims::ReadBucket{Bucket_});
}

/// Puts all that waits into one conditional update. While there is doubt, the
/// update is made even if it changes nothing: the version that it makes keeps
/// every earlier update on the same base from taking effect.
void ClaimBucketWriter::write(Actions &Out) {
  auto Working = Known_->Bucket_;
  applyOutcomes(Working);
  takeClaims(Working, Out);
  if (Phase_ != Phase::Idle)
    return;
  if (WrittenClaims_.empty() && WrittenOutcomes_.empty() && !DoubtfulBase_)
    return;
  Working.prune(Settings_.FinishedPerBucket_, 0, Settings_.MaximumBucketBytes_);
  Phase_ = Phase::Writing;
  Write_ = Nonce(Names_.next());
  auto Value = Working.encode(Write_);
  Written_ = std::move(Working);
  Out.emplace_back(
      claims::WriteBucket{Bucket_, Known_->Version_, std::move(Value), Write_});
}

/// An outcome is about one claim: a newer claim on the same key is not touched.
void ClaimBucketWriter::applyOutcomes(ClaimBucket &Working) {
  for (auto &One : Outcomes_) {
    auto const *Entry = Working.find(One.Id_);
    if (!Entry || Entry->Nonce_ != One.Nonce_ ||
        Entry->State_ != ClaimState::Intent)
      continue;
    auto Next = *Entry;
    Next.State_ = One.State_;
    Next.IsAnswerKept_ =
        One.State_ == ClaimState::Done &&
        One.Answer_.Body_.size() + One.Answer_.ContentType_.size() <=
            Settings_.MaximumAnswerBytes_;
    Next.Answer_ = Next.IsAnswerKept_
                       ? One.Answer_
                       : PlainAnswer{One.Answer_.Status_, "", ""};
    Working.put(std::move(Next));
    WrittenOutcomes_.push_back(std::move(One));
  }
  Outcomes_.clear();
}

void ClaimBucketWriter::takeClaims(ClaimBucket &Working, Actions &Out) {
  auto Candidates = std::exchange(Waiting_, {});
  for (auto &Wanted : Candidates)
    decide(std::move(Wanted), Working, Out);
  auto const WantsRead = [](Claim const &One) {
    return One.Settled_ == Settled::No && One.Freshness_ == Freshness::Cached;
  };
  // A claim that the cached content cannot decide waits for a read, which
  // follows the write or, if nothing is to be written, comes now.
  if (WrittenClaims_.empty() && WrittenOutcomes_.empty() && !DoubtfulBase_ &&
      std::any_of(Waiting_.begin(), Waiting_.end(), WantsRead))
    read(Out);
}

void ClaimBucketWriter::decide(Claim Wanted, ClaimBucket &Working,
                               Actions &Out) {
  // Its verdict was given while it was in doubt. It stays out of the update,
  // which then settles that it is not in force.
  if (Wanted.Settled_ == Settled::Yes) {
    Waiting_.push_back(std::move(Wanted));
    return;
  }
  auto const *Entry = Working.find(Wanted.Id_);
  bool const IsClaimedInThisWrite =
      Entry && std::any_of(WrittenClaims_.begin(), WrittenClaims_.end(),
                           [&](Claim const &One) {
                             return One.Nonce_ == Entry->Nonce_;
                           });
  if (IsClaimedInThisWrite) {
    Waiting_.push_back(std::move(Wanted));
    return;
  }
  if (Entry && Entry->State_ == ClaimState::Intent &&
      Wanted.Freshness_ == Freshness::Cached) {
    Waiting_.push_back(std::move(Wanted));
    return;
  }
  if (Entry)
    if (auto Verdict = verdictFrom(*Entry, Wanted))
      return settle(Wanted, std::move(*Verdict), Out);
  ClaimEntry Intent{Wanted.Id_,
                    Wanted.Wanted_.Fingerprint_,
                    Wanted.Nonce_,
                    ClaimState::Intent,
                    {},
                    false};
  if (!Working.hasRoomForIntent(ClaimBucket::encodedBytes(Intent),
                                Settings_.MaximumBucketBytes_) &&
      Wanted.Fate_ == Fate::NotMade)
    return settle(Wanted, ClaimUnavailable{Settings_.RetryAfter_}, Out);
  Working.put(std::move(Intent));
  WrittenClaims_.push_back(std::move(Wanted));
}

/// Nothing when the entry leaves the call to be claimed again.
std::optional<ClaimVerdict>
ClaimBucketWriter::verdictFrom(ClaimEntry const &Entry,
                               Claim const &Wanted) const {
  if (Entry.Fingerprint_ != Wanted.Wanted_.Fingerprint_)
    return ClaimKeyReused{};
  switch (Entry.State_) {
  case ClaimState::Intent:
    return ClaimPending{};
  case ClaimState::Done:
    return ClaimAnswered{Entry.IsAnswerKept_
                             ? Entry.Answer_
                             : answerNotKept(Entry.Answer_.Status_)};
  case ClaimState::NotRun:
    return std::nullopt;
  }
  return ClaimPending{};
}

/// Puts what the write held back in front of what waits. A claim that was in
/// doubt before stays so: this write's refusal says nothing about the earlier.
void ClaimBucketWriter::requeue(Fate Fate) {
  for (auto &Wanted : WrittenClaims_)
    if (Fate == Fate::Doubtful)
      Wanted.Fate_ = Fate::Doubtful;
  // Without doubt there is nothing to settle for a claim with a verdict.
  std::erase_if(WrittenClaims_, [](Claim const &One) {
    return One.Settled_ == Settled::Yes && One.Fate_ == Fate::NotMade;
  });
  Waiting_.insert(Waiting_.begin(), WrittenClaims_.begin(),
                  WrittenClaims_.end());
  Outcomes_.insert(Outcomes_.begin(), WrittenOutcomes_.begin(),
                   WrittenOutcomes_.end());
  WrittenClaims_.clear();
  WrittenOutcomes_.clear();
}

void ClaimBucketWriter::refuseUndoubted(Actions &Out) {
  for (auto &Wanted : Waiting_)
    if (Wanted.Fate_ == Fate::NotMade)
      settle(Wanted, ClaimUnavailable{Settings_.RetryAfter_}, Out);
  std::erase_if(Waiting_,
                [](Claim const &One) { return One.Fate_ == Fate::NotMade; });
}

void ClaimBucketWriter::acceptRead(Content Seen, TimePoint Now, Actions &Out) {
  IsDoubtReadDue_ = false;
  NewestSeen_ = Seen.Version_;
  // At the same version the update in doubt may still come: the content is the
  // same as before, and the next write on it settles the matter.
  bool const IsNewer = DoubtfulBase_ && Seen.Version_ > *DoubtfulBase_;
  Known_ = std::move(Seen);
  if (IsNewer)
    resolveDoubt(Now, Out);
}

/// The bucket has a newer version than the base of the updates in doubt, so
/// none of them can take effect any more, and those that did are shown by the
/// nonces of their claims: intents are never dropped, and only their holder
/// finishes them.
void ClaimBucketWriter::resolveDoubt(TimePoint Now, Actions &Out) {
  DoubtfulBase_.reset();
  auto Candidates = std::exchange(Waiting_, {});
  for (auto &Wanted : Candidates) {
    auto const *Entry = Known_->Bucket_.find(Wanted.Id_);
    if (Wanted.Fate_ == Fate::Doubtful && Entry &&
        Entry->Nonce_ == Wanted.Nonce_) {
      grant(Wanted, Now, Out);
      continue;
    }
    Wanted.Fate_ = Fate::NotMade;
    if (Wanted.Settled_ == Settled::No)
      Waiting_.push_back(std::move(Wanted));
  }
}

void ClaimBucketWriter::onTakenEffect(Version Made, TimePoint Now,
                                      Actions &Out) {
  Known_ = Content{Made, std::move(Written_)};
  NewestSeen_ = std::max(NewestSeen_, Made);
  WrittenOutcomes_.clear();
  for (auto const &One : std::exchange(WrittenClaims_, {}))
    grant(One, Now, Out);
  // The update was conditional on the content, so that was the newest.
  for (auto &Wanted : Waiting_)
    Wanted.Freshness_ = Freshness::Read;
  if (DoubtfulBase_)
    resolveDoubt(Now, Out);
}

/// A claim that is made too late for its request is given back at once.
void ClaimBucketWriter::grant(Claim const &Made, TimePoint Now, Actions &Out) {
  auto Copy = Made;
  if (Made.Settled_ == Settled::Yes)
    return giveBack(Made);
  if (Now >= Made.Wanted_.Deadline_) {
    giveBack(Made);
    return settle(Copy, ClaimUnavailable{Settings_.RetryAfter_}, Out);
  }
  Held_[Made.Id_] = Made.Nonce_;
  settle(Copy, ClaimGranted{}, Out);
}

void ClaimBucketWriter::giveBack(Claim const &Made) {
  Outcomes_.push_back({Made.Id_, Made.Nonce_, ClaimState::NotRun, {}});
}

void ClaimBucketWriter::expire(TimePoint Now, Actions &Out) {
  for (auto &Wanted : WrittenClaims_)
    if (Now >= Wanted.Wanted_.Deadline_)
      settle(Wanted, ClaimPending{}, Out);
  for (auto &Wanted : Waiting_) {
    if (Now < Wanted.Wanted_.Deadline_)
      continue;
    if (Wanted.Fate_ == Fate::Doubtful)
      settle(Wanted, ClaimPending{}, Out);
    else
      settle(Wanted, ClaimUnavailable{Settings_.RetryAfter_}, Out);
  }
  std::erase_if(Waiting_, [](Claim const &One) {
    return One.Settled_ == Settled::Yes && One.Fate_ == Fate::NotMade;
  });
}

void ClaimBucketWriter::settle(Claim &Wanted, ClaimVerdict Verdict,
                               Actions &Out) {
  if (Wanted.Settled_ == Settled::Yes)
    return;
  Wanted.Settled_ = Settled::Yes;
  Out.emplace_back(
      claims::SettleClaim{Wanted.Wanted_.Ticket_, std::move(Verdict)});
}

} // namespace laburnum
