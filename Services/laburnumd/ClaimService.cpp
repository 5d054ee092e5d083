#include "ClaimService.h"

#include <asio/post.hpp>

namespace laburnum {

namespace {

constexpr Duration JournalTick = std::chrono::milliseconds(50);

} // namespace

ClaimService::ClaimService(ControlThread &Control, ObjectStore &Store,
                           ClaimJournalSettings const &Settings,
                           Duration PlatformTimeout,
                           std::size_t PlatformThreads, std::uint64_t Seed)
    : Control_(Control), Store_(Store), PlatformTimeout_(PlatformTimeout),
      PlatformCalls_(PlatformThreads), Journal_(Settings, Seed) {}

ClaimService::~ClaimService() { stop(); }

void ClaimService::start() {
  Control_.schedulePeriodically(JournalTick,
                                [this] { feed(claims::TimePassed{}); });
}

void ClaimService::stop() { PlatformCalls_.join(); }

ClaimVerdict ClaimService::claim(flow::MakeClaim const &Claim,
                                 TimePoint Deadline) {
  auto const Pending = std::make_shared<Waiter>();
  Pending->Claim_ = Claim;
  Control_.post([this, Pending, Claim, Deadline] {
    auto const Ticket = NextTicket_++;
    Waiting_.emplace(Ticket, Pending);
    feed(claims::ClaimRequest{Ticket, Claim.Account_, Claim.Key_,
                              Claim.Fingerprint_, Deadline});
  });
  std::unique_lock Lock(Pending->Mutex_);
  if (Pending->Resolved_.wait_until(
          Lock, Deadline, [&] { return Pending->Verdict_.has_value(); }))
    return *Pending->Verdict_;
  Pending->HasTimedOut_ = true;
  return ClaimPending{};
}

void ClaimService::record(flow::RecordOutcome const &Outcome) {
  Control_.post([this, Outcome] {
    feed(
        claims::OutcomeKnown{Outcome.Account_, Outcome.Key_, Outcome.Outcome_});
  });
}

void ClaimService::feed(claims::Event const &Event) {
  for (auto const &Action : Journal_.handle(Event, readClock()))
    std::visit([this](auto const &Concrete) { perform(Concrete); }, Action);
}

void ClaimService::perform(claims::ReadBucket const &Action) {
  asio::post(PlatformCalls_, [this, Action] {
    auto Object = Store_.get(Action.Bucket_, PlatformTimeout_);
    Control_.post([this, Action, Object = std::move(Object)] {
      feed(claims::BucketRead{Action.Bucket_, Object});
    });
  });
}

void ClaimService::perform(claims::WriteBucket const &Action) {
  asio::post(PlatformCalls_, [this, Action] {
    auto Written = Store_.putIf(Action.Bucket_, Action.Expected_, Action.Value_,
                                PlatformTimeout_);
    Control_.post([this, Action, Written = std::move(Written)] {
      feed(claims::BucketWritten{Action.Bucket_, Action.Nonce_, Written});
    });
  });
}

void ClaimService::perform(claims::ResolveClaim const &Action) {
  auto const Found = Waiting_.find(Action.Ticket_);
  if (Found == Waiting_.end())
    return;
  auto const Waiter = Found->second;
  Waiting_.erase(Found);
  std::lock_guard const Lock(Waiter->Mutex_);
  Waiter->Verdict_ = Action.Verdict_;
  Waiter->Resolved_.notify_all();
  if (Waiter->HasTimedOut_ &&
      std::holds_alternative<ClaimGranted>(Action.Verdict_))
    releaseUnused(Waiter->Claim_);
}

void ClaimService::releaseUnused(flow::MakeClaim const &Unused) {
  record({Unused.Account_, Unused.Key_, {RunState::NotRun, {}}});
}

} // namespace laburnum
