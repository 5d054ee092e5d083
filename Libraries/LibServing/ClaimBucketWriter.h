#pragma once

#include <LibCore/IdentifierSource.h>
#include <LibServing/ClaimBucket.h>
#include <LibServing/ClaimJournal.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace laburnum {

/// The claims of one bucket. At most one read or write of it is under way;
/// claims and outcomes that come meanwhile wait and go together into the next
/// write.
class ClaimBucketWriter {
public:
  using Actions = std::vector<claims::Action>;

  ClaimBucketWriter(ObjectKey Bucket, ClaimJournalSettings const &Settings,
                    std::uint64_t Seed);

  void on(claims::ClaimWanted const &Event, TimePoint Now, Actions &Out);
  void on(claims::OutcomeKnown const &Event, TimePoint Now, Actions &Out);
  void on(claims::BucketRead const &Event, TimePoint Now, Actions &Out);
  void on(claims::BucketWritten const &Event, TimePoint Now, Actions &Out);
  void on(claims::TimePassed const &, TimePoint Now, Actions &Out);

private:
  enum class Phase { Idle, Reading, Writing };
  enum class Fate {
    NotMade,  ///< No update that holds the claim can take effect.
    Doubtful, ///< One was sent and its answer was lost.
  };
  enum class Settled { No, Yes };
  enum class Freshness { Cached, Read };

  struct Claim {
    claims::ClaimWanted Wanted_;
    ClaimId Id_;
    Nonce Nonce_;
    Fate Fate_ = Fate::NotMade;
    Settled Settled_ = Settled::No; ///< Its verdict was given.
    /// Whether the bucket was read since the claim came.
    Freshness Freshness_ = Freshness::Cached;
  };

  struct Outcome {
    ClaimId Id_;
    Nonce Nonce_; ///< Of the claim that it is about.
    ClaimState State_ = ClaimState::Done;
    PlainAnswer Answer_;
  };

  struct Content {
    Version Version_ = 0;
    ClaimBucket Bucket_;
  };

  void advance(TimePoint Now, Actions &Out);
  bool hasWork(TimePoint Now) const;
  bool needsRead() const;
  void read(Actions &Out);
  void write(Actions &Out);
  void applyOutcomes(ClaimBucket &Working);
  void takeClaims(ClaimBucket &Working, Actions &Out);
  void decide(Claim Wanted, ClaimBucket &Working, Actions &Out);
  std::optional<ClaimVerdict> verdictFrom(ClaimEntry const &Entry,
                                          Claim const &Wanted) const;
  void requeue(Fate Fate);
  void refuseUndoubted(Actions &Out);
  void acceptRead(Content Seen, TimePoint Now, Actions &Out);
  void resolveDoubt(TimePoint Now, Actions &Out);
  void onTakenEffect(Version Made, TimePoint Now, Actions &Out);
  void grant(Claim const &Made, TimePoint Now, Actions &Out);
  void giveBack(Claim const &Made);
  void expire(TimePoint Now, Actions &Out);
  void settle(Claim &Wanted, ClaimVerdict Verdict, Actions &Out);

  ObjectKey const Bucket_;
  ClaimJournalSettings const Settings_;
  IdentifierSource Names_;

  Phase Phase_ = Phase::Idle;
  std::optional<Content> Known_; ///< The newest content that was seen.
  Version NewestSeen_ = 0;       ///< Reads of older versions are stale.
  /// Set while updates on this version may still take effect unseen.
  std::optional<Version> DoubtfulBase_;
  bool IsDoubtReadDue_ = false;
  TimePoint HoldUntil_ = TimePoint::min();
  TimePoint ReadAgainAt_ = TimePoint::min(); ///< After a stale read.

  std::deque<Claim> Waiting_;
  std::deque<Outcome> Outcomes_;
  std::map<ClaimId, Nonce> Held_; ///< Granted here, outcome not told yet.

  // The write under way.
  Nonce Write_;
  ClaimBucket Written_;
  std::vector<Claim> WrittenClaims_;
  std::vector<Outcome> WrittenOutcomes_;
};

} // namespace laburnum
