#include <LibServing/ClaimBucketWriter.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

/// Maximum number of outcomes that wait for the platform. Beyond it the oldest
/// are dropped and their claims safely remain intents.
constexpr std::size_t MaximumWaitingOutcomes = 1000;

ClaimState stateFor(RunState State) {
  return State == RunState::NotRun ? ClaimState::NotRun : ClaimState::Done;
}

/// Builds the substitute for an answer that was not stored.
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

void ClaimBucketWriter::on(claims::ClaimRequest const &Event, TimePoint Now,
                           Actions &Out) {
  Waiting_.push_back(
      {Event, {Event.Account_, Event.Key_}, Nonce(Names_.next())});
  advance(Now, Out);
}

void ClaimBucketWriter::on(claims::OutcomeKnown const &Event, TimePoint Now,
                           Actions &Out) {
  ClaimId const Id{Event.Account_, Event.Key_};
  auto const Found = Granted_.find(Id);
  if (Found == Granted_.end())
    return;
  auto const Holder = Found->second;
  Granted_.erase(Found);
  // The intent already records that the call may have run.
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
    BackOffUntil_ = Now + Settings_.Pause_;
    return rejectUnapplied(Out);
  }
  auto const &Object = valueOf(Event.Object_);
  auto Decoded = ClaimBucket::decode(Object.Value_);
  if (isError(Decoded)) {
    BackOffUntil_ = Now + Settings_.Pause_;
    return rejectUnapplied(Out);
  }
  // A version older than the newest one seen is a stale read and is ignored.
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
    onApplied(valueOf(Event.Version_), Now, Out);
    return advance(Now, Out);
  }
  auto const Kind = errorOf(Event.Version_).Kind_;
  if (isDefiniteRefusal(Kind)) {
    requeue(UpdateOutcome::NotApplied);
    BackOffUntil_ = Now + Settings_.Pause_;
    IsResolvingReadDue_ = IndeterminateBase_.has_value();
    return rejectUnapplied(Out);
  }
  if (Kind == ErrorKind::Conflict) {
    requeue(UpdateOutcome::NotApplied);
    IsResolvingReadDue_ = IndeterminateBase_.has_value();
    NewestSeen_ = Known_->Version_ + 1;
    if (!IndeterminateBase_)
      Known_.reset();
    return advance(Now, Out);
  }
  requeue(UpdateOutcome::Indeterminate);
  // The first unknown outcome is resolved at once, further ones after a delay.
  if (IndeterminateBase_)
    BackOffUntil_ = Now + Settings_.Pause_;
  IndeterminateBase_ = Known_->Version_;
  IsResolvingReadDue_ = true;
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

/// New claims are written at once, even during a backoff: a refusal by the
/// platform is then their verdict. Unknown outcomes of updates and outcomes of
/// calls wait for the end of the backoff.
bool ClaimBucketWriter::hasWork(TimePoint Now) const {
  if (needsRead() && Now < ReadAgainAt_)
    return false;
  if (Now >= BackOffUntil_)
    return IndeterminateBase_ || !Waiting_.empty() || !Outcomes_.empty();
  return !IndeterminateBase_ && !Waiting_.empty();
}

bool ClaimBucketWriter::needsRead() const {
  return !Known_ || (IndeterminateBase_ && IsResolvingReadDue_);
}

void ClaimBucketWriter::read(Actions &Out) {
  Phase_ = Phase::Reading;
  for (auto &Candidate : Waiting_)
    Candidate.Freshness_ = Freshness::Read;
  Out.emplace_back(claims::ReadBucket{Bucket_});
}

/// Writes everything that waits in one conditional update. While the outcome of
/// an update is unknown, it is written even if it changes nothing: its new
/// version keeps every earlier update on the same base from taking effect.
void ClaimBucketWriter::write(Actions &Out) {
  auto Working = Known_->Bucket_;
  applyOutcomes(Working);
  addClaims(Working, Out);
  if (Phase_ != Phase::Idle)
    return;
  if (WrittenClaims_.empty() && WrittenOutcomes_.empty() && !IndeterminateBase_)
    return;
  Working.prune(Settings_.FinishedPerBucket_, 0, Settings_.MaximumBucketBytes_);
  Phase_ = Phase::Writing;
  Write_ = Nonce(Names_.next());
  auto Value = Working.encode(Write_);
  Written_ = std::move(Working);
  Out.emplace_back(
      claims::WriteBucket{Bucket_, Known_->Version_, std::move(Value), Write_});
}

/// An outcome applies to one claim: a newer claim on the same key is not
/// changed.
void ClaimBucketWriter::applyOutcomes(ClaimBucket &Working) {
  for (auto &Item : Outcomes_) {
    auto const *Entry = Working.find(Item.Id_);
    if (!Entry || Entry->Nonce_ != Item.Nonce_ ||
        Entry->State_ != ClaimState::Intent)
      continue;
    auto Next = *Entry;
    Next.State_ = Item.State_;
    Next.IsAnswerStored_ =
        Item.State_ == ClaimState::Done &&
        Item.Answer_.Body_.size() + Item.Answer_.ContentType_.size() <=
            Settings_.MaximumAnswerBytes_;
    Next.Answer_ = Next.IsAnswerStored_
                       ? Item.Answer_
                       : PlainAnswer{Item.Answer_.Status_, "", ""};
    Working.put(std::move(Next));
    WrittenOutcomes_.push_back(std::move(Item));
  }
  Outcomes_.clear();
}

void ClaimBucketWriter::addClaims(ClaimBucket &Working, Actions &Out) {
  auto Candidates = std::exchange(Waiting_, {});
  for (auto &Candidate : Candidates)
    decide(std::move(Candidate), Working, Out);
  auto const NeedsRead = [](Claim const &Item) {
    return Item.Resolved_ == Resolved::No &&
           Item.Freshness_ == Freshness::Cached;
  };
  // A claim that cannot be decided on the cached content waits for a read,
  // which follows the write or, if there is nothing to write, starts now.
  if (WrittenClaims_.empty() && WrittenOutcomes_.empty() &&
      !IndeterminateBase_ &&
      std::any_of(Waiting_.begin(), Waiting_.end(), NeedsRead))
    read(Out);
}

void ClaimBucketWriter::decide(Claim Candidate, ClaimBucket &Working,
                               Actions &Out) {
  // Its verdict was returned while its outcome was unknown. It is left out of
  // the update, which then ensures that it is not in force.
  if (Candidate.Resolved_ == Resolved::Yes) {
    Waiting_.push_back(std::move(Candidate));
    return;
  }
  auto const *Entry = Working.find(Candidate.Id_);
  bool const IsClaimedInThisWrite =
      Entry && std::any_of(WrittenClaims_.begin(), WrittenClaims_.end(),
                           [&](Claim const &Item) {
                             return Item.Nonce_ == Entry->Nonce_;
                           });
  if (IsClaimedInThisWrite) {
    Waiting_.push_back(std::move(Candidate));
    return;
  }
  if (Entry && Entry->State_ == ClaimState::Intent &&
      Candidate.Freshness_ == Freshness::Cached) {
    Waiting_.push_back(std::move(Candidate));
    return;
  }
  if (Entry)
    if (auto Verdict = verdictFrom(*Entry, Candidate))
      return resolve(Candidate, std::move(*Verdict), Out);
  ClaimEntry Intent{Candidate.Id_,
                    Candidate.Request_.Fingerprint_,
                    Candidate.Nonce_,
                    ClaimState::Intent,
                    {},
                    false};
  if (!Working.hasRoomForIntent(ClaimBucket::encodedBytes(Intent),
                                Settings_.MaximumBucketBytes_) &&
      Candidate.UpdateOutcome_ == UpdateOutcome::NotApplied)
    return resolve(Candidate, ClaimUnavailable{Settings_.RetryAfter_}, Out);
  Working.put(std::move(Intent));
  WrittenClaims_.push_back(std::move(Candidate));
}

/// Returns nothing if the entry permits the call to be claimed again.
std::optional<ClaimVerdict>
ClaimBucketWriter::verdictFrom(ClaimEntry const &Entry,
                               Claim const &Candidate) const {
  if (Entry.Fingerprint_ != Candidate.Request_.Fingerprint_)
    return ClaimKeyReused{};
  switch (Entry.State_) {
  case ClaimState::Intent:
    return ClaimPending{};
  case ClaimState::Done:
    return ClaimAnswered{Entry.IsAnswerStored_
                             ? Entry.Answer_
                             : answerNotKept(Entry.Answer_.Status_)};
  case ClaimState::NotRun:
    return std::nullopt;
  }
  return ClaimPending{};
}

/// Moves the claims and outcomes of the write back to the front of the queues.
/// A claim whose outcome was unknown before keeps it unknown, as the refusal of
/// this write says nothing about earlier ones.
void ClaimBucketWriter::requeue(UpdateOutcome UpdateOutcome) {
  for (auto &Candidate : WrittenClaims_)
    if (UpdateOutcome == UpdateOutcome::Indeterminate)
      Candidate.UpdateOutcome_ = UpdateOutcome::Indeterminate;
  // A claim with a verdict that was not applied needs no further resolution.
  std::erase_if(WrittenClaims_, [](Claim const &Item) {
    return Item.Resolved_ == Resolved::Yes &&
           Item.UpdateOutcome_ == UpdateOutcome::NotApplied;
  });
  Waiting_.insert(Waiting_.begin(), WrittenClaims_.begin(),
                  WrittenClaims_.end());
  Outcomes_.insert(Outcomes_.begin(), WrittenOutcomes_.begin(),
                   WrittenOutcomes_.end());
  WrittenClaims_.clear();
  WrittenOutcomes_.clear();
}

void ClaimBucketWriter::rejectUnapplied(Actions &Out) {
  for (auto &Candidate : Waiting_)
    if (Candidate.UpdateOutcome_ == UpdateOutcome::NotApplied)
      resolve(Candidate, ClaimUnavailable{Settings_.RetryAfter_}, Out);
  std::erase_if(Waiting_, [](Claim const &Item) {
    return Item.UpdateOutcome_ == UpdateOutcome::NotApplied;
  });
}

void ClaimBucketWriter::acceptRead(Content Seen, TimePoint Now, Actions &Out) {
  IsResolvingReadDue_ = false;
  NewestSeen_ = Seen.Version_;
  // At the same version an update with unknown outcome may still take effect.
  // The content is unchanged, and the next write on it resolves the outcome.
  bool const IsNewer =
      IndeterminateBase_ && Seen.Version_ > *IndeterminateBase_;
  Known_ = std::move(Seen);
  if (IsNewer)
    resolveIndeterminate(Now, Out);
}

/// The bucket has a newer version than the base of the updates with unknown
/// outcome, so none of them can take effect any more. Those that did are shown
/// by the nonces of their claims, as intents are never dropped and only their
/// holder finishes them.
void ClaimBucketWriter::resolveIndeterminate(TimePoint Now, Actions &Out) {
  IndeterminateBase_.reset();
  auto Candidates = std::exchange(Waiting_, {});
  for (auto &Candidate : Candidates) {
    auto const *Entry = Known_->Bucket_.find(Candidate.Id_);
    if (Candidate.UpdateOutcome_ == UpdateOutcome::Indeterminate && Entry &&
        Entry->Nonce_ == Candidate.Nonce_) {
      grant(Candidate, Now, Out);
      continue;
    }
    Candidate.UpdateOutcome_ = UpdateOutcome::NotApplied;
    if (Candidate.Resolved_ == Resolved::No)
      Waiting_.push_back(std::move(Candidate));
  }
}

void ClaimBucketWriter::onApplied(Version Applied, TimePoint Now,
                                  Actions &Out) {
  Known_ = Content{Applied, std::move(Written_)};
  NewestSeen_ = std::max(NewestSeen_, Applied);
  WrittenOutcomes_.clear();
  for (auto const &Item : std::exchange(WrittenClaims_, {}))
    grant(Item, Now, Out);
  // The update was conditional on the content, which was therefore current.
  for (auto &Candidate : Waiting_)
    Candidate.Freshness_ = Freshness::Read;
  if (IndeterminateBase_)
    resolveIndeterminate(Now, Out);
}

/// A claim that was stored too late for its request is recorded as not run.
void ClaimBucketWriter::grant(Claim const &Applied, TimePoint Now,
                              Actions &Out) {
  auto Copy = Applied;
  if (Applied.Resolved_ == Resolved::Yes)
    return recordNotRun(Applied);
  if (Now >= Applied.Request_.Deadline_) {
    recordNotRun(Applied);
    return resolve(Copy, ClaimUnavailable{Settings_.RetryAfter_}, Out);
  }
  Granted_[Applied.Id_] = Applied.Nonce_;
  resolve(Copy, ClaimGranted{}, Out);
}

void ClaimBucketWriter::recordNotRun(Claim const &Applied) {
  Outcomes_.push_back({Applied.Id_, Applied.Nonce_, ClaimState::NotRun, {}});
}

void ClaimBucketWriter::expire(TimePoint Now, Actions &Out) {
  for (auto &Candidate : WrittenClaims_)
    if (Now >= Candidate.Request_.Deadline_)
      resolve(Candidate, ClaimPending{}, Out);
  for (auto &Candidate : Waiting_) {
    if (Now < Candidate.Request_.Deadline_)
      continue;
    if (Candidate.UpdateOutcome_ == UpdateOutcome::Indeterminate)
      resolve(Candidate, ClaimPending{}, Out);
    else
      resolve(Candidate, ClaimUnavailable{Settings_.RetryAfter_}, Out);
  }
  std::erase_if(Waiting_, [](Claim const &Item) {
    return Item.Resolved_ == Resolved::Yes &&
           Item.UpdateOutcome_ == UpdateOutcome::NotApplied;
  });
}

void ClaimBucketWriter::resolve(Claim &Candidate, ClaimVerdict Verdict,
                                Actions &Out) {
  if (Candidate.Resolved_ == Resolved::Yes)
    return;
  Candidate.Resolved_ = Resolved::Yes;
  Out.emplace_back(
      claims::ResolveClaim{Candidate.Request_.Ticket_, std::move(Verdict)});
}

} // namespace laburnum
