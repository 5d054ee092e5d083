#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibPlatform/ObjectStore.h>
#include <LibServing/ClaimVerdict.h>

#include <cstdint>
#include <map>
#include <memory>
#include <variant>
#include <vector>

/// Claims on non-idempotent calls, kept in the platform and made before the
/// call is dispatched. Keys hash to bucket objects; the claims that arrive
/// while a bucket is being written join its next conditional update. A
/// deterministic state machine: reads and writes of buckets are actions.
///
/// What a verdict rests on:
/// - Granted: a conditional update with this claim's own nonce is known to have
///   taken effect, by its answer or by a later read that shows the nonce.
/// - Unavailable: no update that holds this claim has taken effect or can take
///   effect later, or one did and the claim is being given back as not run.
///   Either way, this sending of the call was never dispatched.
/// - Pending: also for a claim whose deadline passed while the fate of its
///   update was unknown. If the update turns out to have taken effect, the
///   claim is given back as not run, so that the key may be used again.
///
/// An update whose answer was lost may still be on its way. It cannot take
/// effect once its bucket has another version, so it counts as not made only
/// after a read, or another update on the same base, shows a newer version.
///
/// Retention: intents are kept for ever; of the finished calls each bucket
/// keeps the latest ClaimJournalSettings::FinishedPerBucket_, fewer when they
/// are large. A call repeated after its entry was dropped runs again.
/// FIXME: The bound on that is a count and not a time.
namespace laburnum {

namespace claims {

/// Numbers the claims of this process, to match verdicts to requests.
using Ticket = std::uint64_t;

// Events.

struct ClaimWanted {
  Ticket Ticket_ = 0;
  AccountName Account_;
  IdempotencyKey Key_;
  std::uint64_t Fingerprint_ = 0;
  TimePoint Deadline_{}; ///< After it the verdict is of no use.
};
struct OutcomeKnown {
  AccountName Account_;
  IdempotencyKey Key_;
  ClaimOutcome Outcome_;
};
struct BucketRead {
  ObjectKey Bucket_;
  Result<StoredObject> Object_;
};
struct BucketWritten {
  ObjectKey Bucket_;
  Nonce Nonce_; ///< Of the write that this answers.
  Result<Version> Version_;
};
/// Sent at least every 100 ms.
struct TimePassed {};

using Event = std::variant<ClaimWanted, OutcomeKnown, BucketRead, BucketWritten,
                           TimePassed>;

// Actions.

struct ReadBucket {
  ObjectKey Bucket_;
  auto operator<=>(ReadBucket const &) const = default;
};
struct WriteBucket {
  ObjectKey Bucket_;
  Version Expected_ = 0;
  std::string Value_;
  Nonce Nonce_;
  auto operator<=>(WriteBucket const &) const = default;
};
struct SettleClaim {
  Ticket Ticket_ = 0;
  ClaimVerdict Verdict_;
  auto operator<=>(SettleClaim const &) const = default;
};

using Action = std::variant<ReadBucket, WriteBucket, SettleClaim>;

} // namespace claims

struct ClaimJournalSettings {
  std::uint32_t Buckets_ = 64;
  std::uint32_t FinishedPerBucket_ = 1000;
  std::uint32_t MaximumBucketBytes_ = 900'000;
  /// A larger body of an answer is not kept, only its status.
  std::uint32_t MaximumAnswerBytes_ = 4096;
  /// Told to callers whose claim could not be made.
  Duration RetryAfter_ = std::chrono::seconds(1);
  /// Between two tries when the platform does not answer well.
  Duration Pause_ = std::chrono::milliseconds(100);

  auto operator<=>(ClaimJournalSettings const &) const = default;
};

class ClaimBucketWriter;

class ClaimJournal {
public:
  /// Seed must differ between processes: the nonces that tell whose claim is
  /// in a bucket are made from it.
  ClaimJournal(ClaimJournalSettings Settings, std::uint64_t Seed);
  ~ClaimJournal();

  std::vector<claims::Action> handle(claims::Event const &Event, TimePoint Now);

  /// The bucket object that holds a call's claim.
  ObjectKey bucketOf(AccountName const &Account,
                     IdempotencyKey const &Key) const;

private:
  ClaimBucketWriter &writerOf(ObjectKey const &Bucket);

  ClaimJournalSettings const Settings_;
  std::uint64_t const Seed_;
  std::map<ObjectKey, std::unique_ptr<ClaimBucketWriter>> Writers_;
};

} // namespace laburnum
