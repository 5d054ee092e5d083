#pragma once

#include <LibCore/Result.h>
#include <LibServing/ClaimVerdict.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace laburnum {

/// Names one call: keys of different accounts are different calls.
struct ClaimId {
  AccountName Account_;
  IdempotencyKey Key_;

  auto operator<=>(ClaimId const &) const = default;
};

enum class ClaimState {
  Intent, ///< Claimed; whether it ran is not recorded.
  Done,   ///< Ran; its answer is kept unless it was too large.
  NotRun, ///< Certainly did not run: it may be claimed again.
};

/// What a bucket says about one call.
struct ClaimEntry {
  ClaimId Id_;
  std::uint64_t Fingerprint_ = 0;
  Nonce Nonce_; ///< Of the claim, not of the write that carried it.
  ClaimState State_ = ClaimState::Intent;
  PlainAnswer Answer_; ///< When Done; only the status if it was too large.
  bool IsAnswerKept_ = false;

  auto operator<=>(ClaimEntry const &) const = default;
};

/// The content of one bucket object. It knows the size of its own encoding, so
/// that it can be kept below the platform's limit on values.
class ClaimBucket {
public:
  /// An empty text is an empty bucket.
  static Result<ClaimBucket> decode(std::string const &Json);
  /// Write names the update that carries the value.
  std::string encode(Nonce const &Write) const;
  std::size_t encodedBytes() const { return FrameBytes + Bytes_; }

  ClaimEntry const *find(ClaimId const &Id) const;
  /// Adds the entry, or replaces the one with the same name.
  void put(ClaimEntry Entry);

  /// Drops the longest finished entries until at most Finished are left. Then,
  /// while Room more bytes do not fit below Limit, drops kept answers and after
  /// them entries, the longest finished first. Intents are never dropped.
  void prune(std::size_t Finished, std::size_t Room, std::size_t Limit);

  /// Intents may fill half of Limit, so that finishing them always has room.
  bool hasRoomForIntent(std::size_t Room, std::size_t Limit) const {
    return FrameBytes + IntentBytes_ + Room <= Limit / 2;
  }

  static std::size_t encodedBytes(ClaimEntry const &Entry);

private:
  /// Room for what the encoding has around the entries.
  static constexpr std::size_t FrameBytes = 256;

  struct Slot {
    ClaimEntry Entry_;
    std::string Json_; ///< Kept, as an entry seldom changes between writes.
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
