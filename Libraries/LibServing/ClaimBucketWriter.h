#pragma once

#include <LibCore/IdentifierSource.h>
#include <LibServing/ClaimBucket.h>
#include <LibServing/ClaimJournal.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace laburnum {

/// Manages the claims of one bucket. At most one read or write is in flight;
/// claims and outcomes that arrive meanwhile are batched into the next write.
class ClaimBucketWriter {
public:
  using Actions = std::vector<claims::Action>;

  ClaimBucketWriter(ObjectKey Bucket, ClaimJournalSettings const &Settings,
                    std::uint64_t Seed);

  void on(claims::ClaimRequest const &Event, TimePoint Now, Actions &Out);
  void on(claims::OutcomeKnown const &Event, TimePoint Now, Actions &Out);
  void on(claims::BucketRead const &Event, TimePoint Now, Actions &Out);
  void on(claims::BucketWritten const &Event, TimePoint Now, Actions &Out);
  void on(claims::TimePassed const &, TimePoint Now, Actions &Out);

private:
  enum class Phase { Idle, Reading, Writing };
  enum class UpdateOutcome {
    NotApplied,    ///< No update with the claim has taken or can take effect.
    Indeterminate, ///< An update was sent and its answer was lost.
  };
  enum class Resolved { No, Yes };
  enum class Freshness { Cached, Read };

  struct Claim {
    claims::ClaimRequest Request_;
    ClaimId Id_;
    Nonce Nonce_;
    UpdateOutcome UpdateOutcome_ = UpdateOutcome::NotApplied;
    Resolved Resolved_ = Resolved::No; ///< Whether its verdict was returned.
    /// Whether the bucket was read since the claim arrived.
    Freshness Freshness_ = Freshness::Cached;
  };

  struct Outcome {
    ClaimId Id_;
    Nonce Nonce_; ///< Nonce of the claim that it belongs to.
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
  void addClaims(ClaimBucket &Working, Actions &Out);
  void decide(Claim Candidate, ClaimBucket &Working, Actions &Out);
  std::optional<ClaimVerdict> verdictFrom(ClaimEntry const &Entry,
                                          Claim const &Candidate) const;
  void requeue(UpdateOutcome UpdateOutcome);
  void rejectUnapplied(Actions &Out);
  void acceptRead(Content Seen, TimePoint Now, Actions &Out);
  void resolveIndeterminate(TimePoint Now, Actions &Out);
  void onApplied(Version Applied, TimePoint Now, Actions &Out);
  void grant(Claim const &Applied, TimePoint Now, Actions &Out);
  void recordNotRun(Claim const &Applied);
  void expire(TimePoint Now, Actions &Out);
  void resolve(Claim &Candidate, ClaimVerdict Verdict, Actions &Out);

  ObjectKey const Bucket_;
  ClaimJournalSettings const Settings_;
  IdentifierSource Names_;

  Phase Phase_ = Phase::Idle;
  std::optional<Content> Known_; ///< The newest content known.
  Version NewestSeen_ = 0;       ///< Reads of older versions are stale.
  /// Version on which updates with unknown outcome are based, if any.
  std::optional<Version> IndeterminateBase_;
  bool IsResolvingReadDue_ = false;
  TimePoint BackOffUntil_ = TimePoint::min();
  TimePoint ReadAgainAt_ = TimePoint::min(); ///< After a stale read.

  std::deque<Claim> Waiting_;
  std::deque<Outcome> Outcomes_;
  std::map<ClaimId, Nonce> Granted_; ///< Granted, without an outcome yet.

  // The write in flight.
  Nonce Write_;
  ClaimBucket Written_;
  std::vector<Claim> WrittenClaims_;
  std::vector<Outcome> WrittenOutcomes_;
};

} // namespace laburnum
