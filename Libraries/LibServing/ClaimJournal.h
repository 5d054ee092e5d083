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

/// Claims on non-idempotent calls, stored in the platform before the call is
/// dispatched. Keys hash to bucket objects; claims that arrive while a bucket
/// is being written join its next conditional update. A deterministic state
/// machine whose actions are the reads and writes of buckets.
///
/// Guarantees of a verdict:
/// - Granted: a conditional update with this claim's nonce is known to have
///   taken effect, from its answer or from a later read that shows the nonce.
/// - Unavailable: no update with this claim has taken effect or can take effect
///   later, or one did and the claim is being recorded as not run. In both
///   cases this call was never dispatched.
/// - Pending: also returned for a claim whose deadline passed while the outcome
///   of its update was unknown. If the update turns out to have taken effect,
///   the claim is recorded as not run, so that the key may be used again.
///
/// An update whose answer was lost may still be in flight. It cannot take
/// effect once its bucket has another version, so it counts as not applied only
/// after a read, or another update on the same base, shows a newer version.
///
/// Retention: intents are never dropped; each bucket keeps the latest
/// ClaimJournalSettings::FinishedPerBucket_ finished calls, fewer if they are
/// large. A call repeated after its entry was dropped runs again.
/// FIXME: Retention is bounded by count instead of by time.
namespace laburnum {

namespace claims {

/// Identifies a claim within this process, to match verdicts to requests.
using Ticket = std::uint64_t;

// Events.

struct ClaimRequest {
  Ticket Ticket_ = 0;
  AccountName Account_;
  IdempotencyKey Key_;
  std::uint64_t Fingerprint_ = 0;
  TimePoint Deadline_{}; ///< Latest time at which a verdict is useful.
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
  Nonce Nonce_; ///< Nonce of the completed write.
  Result<Version> Version_;
};
/// To be sent at least every 100 ms.
struct TimePassed {};

using Event = std::variant<ClaimRequest, OutcomeKnown, BucketRead,
                           BucketWritten, TimePassed>;

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
struct ResolveClaim {
  Ticket Ticket_ = 0;
  ClaimVerdict Verdict_;
  auto operator<=>(ResolveClaim const &) const = default;
};

using Action = std::variant<ReadBucket, WriteBucket, ResolveClaim>;

} // namespace claims

struct ClaimJournalSettings {
  std::uint32_t Buckets_ = 64;
  std::uint32_t FinishedPerBucket_ = 1000;
  std::uint32_t MaximumBucketBytes_ = 900'000;
  /// Of an answer with a larger body only the status is stored.
  std::uint32_t MaximumAnswerBytes_ = 4096;
  /// Retry-After for callers whose claim could not be stored.
  Duration RetryAfter_ = std::chrono::seconds(1);
  /// Delay before retrying after a failure of the platform.
  Duration Pause_ = std::chrono::milliseconds(100);

  auto operator<=>(ClaimJournalSettings const &) const = default;
};

class ClaimBucketWriter;

class ClaimJournal {
public:
  /// Seed must differ between processes: it generates the nonces that identify
  /// the owner of a claim in a bucket.
  ClaimJournal(ClaimJournalSettings Settings, std::uint64_t Seed);
  ~ClaimJournal();

  std::vector<claims::Action> handle(claims::Event const &Event, TimePoint Now);

  /// Returns the bucket object that stores a call's claim.
  ObjectKey bucketOf(AccountName const &Account,
                     IdempotencyKey const &Key) const;

private:
  ClaimBucketWriter &writerOf(ObjectKey const &Bucket);

  ClaimJournalSettings const Settings_;
  std::uint64_t const Seed_;
  std::map<ObjectKey, std::unique_ptr<ClaimBucketWriter>> Writers_;
};

} // namespace laburnum
