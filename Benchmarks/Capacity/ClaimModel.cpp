#include "ClaimModel.h"

#include <algorithm>

namespace laburnum::bench {

/// The network delay of a platform call in one direction.
static constexpr Duration OneWayDelay = std::chrono::microseconds(2500);
static constexpr Duration TickInterval = std::chrono::milliseconds(50);
static constexpr Duration ClaimTimeout = std::chrono::seconds(10);
/// Size of a stored answer, such as a receipt.
static constexpr std::size_t AnswerBytes = 120;

ClaimModel::ClaimModel(ClaimShape Shape) : Shape_(Shape), Generator_(1) {
  for (std::uint32_t Index = 0; Index < Shape.Instances_; ++Index) {
    Journals_.push_back(std::make_unique<ClaimJournal>(
        ClaimJournalSettings(), std::uint64_t{Index} + 1));
    tick(Index);
  }
  arrive();
}

void ClaimModel::reset() {
  Counters_ = {};
  Cpu_.reset();
}

void ClaimModel::arrive() {
  std::exponential_distribution<double> Pause(Shape_.ClaimsPerSecond_);
  auto const Next = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Pause(Generator_)));
  Time_.after(Next, [this] {
    auto const Ticket = NextTicket_++;
    claims::ClaimRequest const Claim{
        Ticket, AccountName("stalls"),
        IdempotencyKey("fee-payment-" + std::to_string(Ticket)), Ticket,
        Time_.now() + ClaimTimeout};
    Pending_[Ticket] = {Claim, Time_.now()};
    feed(static_cast<std::uint32_t>(Generator_() % Shape_.Instances_), Claim);
    arrive();
  });
}

void ClaimModel::tick(std::uint32_t Instance) {
  Time_.after(TickInterval, [this, Instance] {
    feed(Instance, claims::TimePassed{});
    tick(Instance);
  });
}

void ClaimModel::feed(std::uint32_t Instance, claims::Event const &Event) {
  auto const Actions = Cpu_.measure(Work::Configuration, [&] {
    return Journals_[Instance]->handle(Event, Time_.now());
  });
  for (auto const &Action : Actions)
    std::visit([&](auto const &One) { perform(Instance, One); }, Action);
}

void ClaimModel::perform(std::uint32_t Instance,
                         claims::ReadBucket const &Action) {
  ++Counters_.Reads_;
  Time_.after(OneWayDelay, [this, Instance, Action] {
    auto Found = Store_[Action.Bucket_];
    Found.Key_ = Action.Bucket_;
    Counters_.ReadBytes_ += Found.Value_.size();
    Time_.after(OneWayDelay, [this, Instance, Action, Found] {
      feed(Instance, claims::BucketRead{Action.Bucket_, Found});
    });
  });
}

void ClaimModel::perform(std::uint32_t Instance,
                         claims::WriteBucket const &Action) {
  ++Counters_.Writes_;
  Counters_.WrittenBytes_ += Action.Value_.size();
  Counters_.LargestBytes_ =
      std::max<std::uint64_t>(Counters_.LargestBytes_, Action.Value_.size());
  Time_.after(OneWayDelay, [this, Instance, Action] {
    auto &Stored = Store_[Action.Bucket_];
    Result<Version> Outcome = Error{
        ErrorKind::Conflict, std::to_string(Stored.Version_), "read again"};
    if (Stored.Version_ == Action.Expected_) {
      Stored = {Action.Bucket_, ++Version_, Action.Value_};
      Outcome = Stored.Version_;
    } else {
      ++Counters_.Conflicts_;
    }
    Time_.after(OneWayDelay, [this, Instance, Action, Outcome] {
      feed(Instance,
           claims::BucketWritten{Action.Bucket_, Action.Nonce_, Outcome});
    });
  });
}

void ClaimModel::perform(std::uint32_t Instance,
                         claims::ResolveClaim const &Action) {
  auto const Found = Pending_.find(Action.Ticket_);
  if (Found == Pending_.end())
    return;
  auto const Resolved = Found->second;
  Pending_.erase(Found);
  if (!std::holds_alternative<ClaimGranted>(Action.Verdict_)) {
    ++Counters_.Refused_;
    return;
  }
  ++Counters_.Granted_;
  Counters_.TotalWait_ += Time_.now() - Resolved.RequestedAt_;
  Time_.after(Shape_.ServiceTime_, [this, Instance, Resolved] {
    PlainAnswer Answer;
    Answer.Status_ = 200;
    Answer.ContentType_ = "application/json";
    Answer.Body_ = std::string(AnswerBytes, 'a');
    feed(Instance, claims::OutcomeKnown{Resolved.Claim_.Account_,
                                        Resolved.Claim_.Key_,
                                        {RunState::Ran, Answer}});
  });
}

} // namespace laburnum::bench
