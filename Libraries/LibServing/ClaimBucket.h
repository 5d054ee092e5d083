#pragma once

#include <LibCore/Result.h>
#include <LibServing/ClaimVerdict.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace laburnum {

/// Identifies a call. Keys are scoped to their account.
struct ClaimId {
  AccountName Account_;
  IdempotencyKey Key_;

  auto operator<=>(ClaimId const &) const = default;
};

enum class ClaimState {
  Intent, ///< Claimed; its outcome is not recorded.
  Done,   ///< Ran; its answer is stored unless it was too large.
  NotRun, ///< Known not to have run; it may be claimed again.
};

/// A bucket's record of one call.
struct ClaimEntry {
  ClaimId Id_;
  std::uint64_t Fingerprint_ = 0;
  Nonce Nonce_; ///< Nonce of the claim, not of the write that stored it.
  ClaimState State_ = ClaimState::Intent;
  PlainAnswer Answer_; ///< If Done; only its status if it was too large.
  bool IsAnswerStored_ = false;

  auto operator<=>(ClaimEntry const &) const = default;
};

/// The content of one bucket object. Tracks the size of its encoding so that it
/// stays below the platform's limit on values.
class ClaimBucket {
public:
  /// Decodes a bucket; empty text is an empty bucket. Error: Internal (not a
  /// claims bucket) or an invalid entry.
  static Result<ClaimBucket> decode(std::string const &Json);
  /// Encodes the bucket. Write identifies the update that stores the value.
  std::string encode(Nonce const &Write) const;
  std::size_t encodedBytes() const { return FrameBytes + Bytes_; }

  ClaimEntry const *find(ClaimId const &Id) const;
  /// Adds the entry or replaces the one with the same identifier.
  void put(ClaimEntry Entry);

  /// Drops finished entries, the oldest first, until at most Finished are left.
  /// Then, while Room more bytes exceed Limit, drops stored answers and after
  /// them finished entries, the oldest first. Intents are never dropped.
  void prune(std::size_t Finished, std::size_t Room, std::size_t Limit);

  /// Intents are limited to half of Limit so that their outcomes always fit.
  bool hasRoomForIntent(std::size_t Room, std::size_t Limit) const {
    return FrameBytes + IntentBytes_ + Room <= Limit / 2;
  }

  static std::size_t encodedBytes(ClaimEntry const &Entry);

private:
  /// Upper bound of the encoding's size without the entries.
  static constexpr std::size_t FrameBytes = 256;

  struct Slot {
    ClaimEntry Entry_;
    std::string Json_; ///< Cached, as entries seldom change between writes.
    std::uint64_t Order_ = 0;

    std::size_t bytes() const { return Json_.size() + 1; } // With its comma.
  };

  void add(ClaimEntry Entry, std::uint64_t Order);
  void erase(ClaimId const &Id);
  void dropOldestAnswer();

  std::map<ClaimId, Slot> Slots_;
  std::map<std::uint64_t, ClaimId> FinishedInOrder_;
  std::map<std::uint64_t, ClaimId> AnswersInOrder_;
  std::uint64_t NextOrder_ = 0;
  std::size_t Bytes_ = 0;
  std::size_t IntentBytes_ = 0;
};

} // namespace laburnum
