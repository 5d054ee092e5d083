#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibPlatform/ObjectStore.h>
#include <LibServing/ClaimVerdict.h>

#include <cstdint>
#include <variant>
#include <vector>

/// Claims on non-idempotent calls, kept in the platform and made before the
/// call is dispatched. Keys hash to bucket objects; the claims that arrive
/// while a bucket is being written join its next conditional update. A
/// deterministic state machine: reads and writes of buckets are actions.
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

} // namespace laburnum
