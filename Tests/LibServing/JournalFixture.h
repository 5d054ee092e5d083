#pragma once

#include <LibServing/ClaimBucket.h>
#include <LibServing/ClaimJournal.h>
#include <LibServing/FlowFixture.h>

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnum::test {

inline claims::ClaimRequest claimRequest(claims::Ticket Ticket, std::string Key,
                                         std::uint64_t Fingerprint = 1) {
  return {Ticket, AccountName("account"), IdempotencyKey(std::move(Key)),
          Fingerprint, at(seconds(10))};
}

inline claims::OutcomeKnown outcome(std::string Key, RunState State,
                                    std::string Body = "done") {
  return {AccountName("account"),
          IdempotencyKey(std::move(Key)),
          {State, {200, "text/plain", std::move(Body)}}};
}

/// A store of one bucket that the journals of several instances share.
struct SharedBucket {
  Version Version_ = 0;
  std::string Value_;

  Result<Version> apply(claims::WriteBucket const &Write) {
    if (Write.Expected_ != Version_)
      return Error{ErrorKind::Conflict, "newer", "read again"};
    Version_ += 3; // Versions are store-wide: other objects use some.
    Value_ = Write.Value_;
    return Version_;
  }
  StoredObject object(ObjectKey const &Key) const {
    return {Key, Version_, Value_};
  }
};

inline Error failure(ErrorKind Kind) { return {Kind, "scripted", "none"}; }

/// One instance's journal. Reads and writes are pending until a test answers
/// them.
struct JournalRun {
  JournalRun(SharedBucket &Store, std::uint64_t Seed,
             ClaimJournalSettings Settings = {.Buckets_ = 1})
      : Store_(Store), Journal_(Settings, Seed) {}

  void handle(claims::Event const &Event) {
    for (auto &Action : Journal_.handle(Event, Now_)) {
      if (auto *Read = std::get_if<claims::ReadBucket>(&Action))
        Read_ = *Read;
      if (auto *Write = std::get_if<claims::WriteBucket>(&Action))
        Write_ = *Write;
      if (auto *Resolved = std::get_if<claims::ResolveClaim>(&Action)) {
        CHECK(Verdicts_.count(Resolved->Ticket_) == 0);
        Verdicts_[Resolved->Ticket_] = Resolved->Verdict_;
      }
    }
  }

  void answerRead() {
    REQUIRE(Read_);
    auto const Bucket = std::exchange(Read_, std::nullopt)->Bucket_;
    handle(claims::BucketRead{Bucket, Store_.object(Bucket)});
  }
  void answerRead(Result<StoredObject> Object) {
    REQUIRE(Read_);
    auto const Bucket = std::exchange(Read_, std::nullopt)->Bucket_;
    handle(claims::BucketRead{Bucket, std::move(Object)});
  }
  claims::WriteBucket takeWrite() {
    REQUIRE(Write_);
    return *std::exchange(Write_, std::nullopt);
  }
  void answerWrite(claims::WriteBucket const &Write, Result<Version> Made) {
    handle(claims::BucketWritten{Write.Bucket_, Write.Nonce_, std::move(Made)});
  }
  void answerWrite() {
    auto const Write = takeWrite();
    answerWrite(Write, Store_.apply(Write));
  }
  /// Loses the write's answer; the test may apply the write itself.
  claims::WriteBucket loseWrite() {
    auto const Write = takeWrite();
    answerWrite(Write, failure(ErrorKind::OutcomeUnknown));
    return Write;
  }
  void passTime(Duration Span) {
    Now_ += Span;
    handle(claims::TimePassed{});
  }
  /// Answers reads and writes until none is pending.
  void run() {
    while (Read_ || Write_) {
      if (Read_)
        answerRead();
      else
        answerWrite();
    }
  }

  template <typename Verdict> bool has(claims::Ticket Ticket) const {
    auto const Found = Verdicts_.find(Ticket);
    return Found != Verdicts_.end() &&
           std::holds_alternative<Verdict>(Found->second);
  }
  bool isOpen(claims::Ticket Ticket) const {
    return Verdicts_.count(Ticket) == 0;
  }

  SharedBucket &Store_;
  ClaimJournal Journal_;
  TimePoint Now_ = at(Duration::zero());
  std::optional<claims::ReadBucket> Read_;
  std::optional<claims::WriteBucket> Write_;
  std::map<claims::Ticket, ClaimVerdict> Verdicts_;
};

} // namespace laburnum::test
