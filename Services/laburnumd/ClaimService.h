#pragma once

#include "ControlThread.h"

#include <LibCallers/FlowRunner.h>
#include <LibPlatform/ObjectStore.h>
#include <LibServing/ClaimJournal.h>

#include <asio/thread_pool.hpp>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

namespace laburnum {

/// Lets traffic threads acquire idempotency claims: forwards their requests to
/// the claim journal on the control thread and executes the platform calls
/// that the journal requests.
class ClaimService : public ClaimClient {
public:
  ClaimService(ControlThread &Control, ObjectStore &Store,
               ClaimJournalSettings const &Settings, Duration PlatformTimeout,
               std::size_t PlatformThreads, std::uint64_t Seed);
  ~ClaimService() override;

  /// Called once, before the control thread runs.
  void start();
  /// Waits for the platform calls in progress.
  void stop();

  ClaimVerdict claim(flow::MakeClaim const &Claim, TimePoint Deadline) override;
  void record(flow::RecordOutcome const &Outcome) override;

private:
  /// A traffic thread that waits for the result of its claim.
  struct Waiter {
    flow::MakeClaim Claim_;
    std::mutex Mutex_;
    std::condition_variable Resolved_;
    std::optional<ClaimVerdict> Verdict_;
    bool HasTimedOut_ = false;
  };

  // On the control thread.
  void feed(claims::Event const &Event);
  void perform(claims::ReadBucket const &Action);
  void perform(claims::WriteBucket const &Action);
  void perform(claims::ResolveClaim const &Action);
  /// Releases a claim that was granted after its requester timed out; nothing
  /// was dispatched under it.
  void releaseUnused(flow::MakeClaim const &Unused);

  ControlThread &Control_;
  ObjectStore &Store_;
  Duration const PlatformTimeout_;
  asio::thread_pool PlatformCalls_;
  ClaimJournal Journal_;
  std::map<claims::Ticket, std::shared_ptr<Waiter>> Waiting_;
  claims::Ticket NextTicket_ = 1;
};

} // namespace laburnum
