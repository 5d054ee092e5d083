#pragma once

#include <LibCore/IdentifierSource.h>
#include <LibCore/Time.h>
#include <LibFleet/Member.h>
#include <LibPlatform/ObjectStore.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace laburnum {

namespace lease {

/// ReadLease succeeded.
struct LeaseRead {
  StoredObject Object_;
};
struct ReadFailed {};
/// WriteLease succeeded and created this version.
struct LeaseWritten {
  Version Version_ = 0;
};
/// The conditional update failed: the object is at another version.
struct WriteRefused {};
/// The write did not take effect.
struct WriteFailed {};
/// The write may have taken effect, or may still do so later.
struct WriteUnknown {};
struct MembersChanged {
  std::vector<Member> Members_;
};
/// A backend server has seen a higher fencing number than the lease's.
struct FencedOut {};
/// A timer tick, sent at least five times a second.
struct TimePassed {};

using Event =
    std::variant<LeaseRead, ReadFailed, LeaseWritten, WriteRefused, WriteFailed,
                 WriteUnknown, MembersChanged, FencedOut, TimePassed>;

/// Read the lease object. Answered by LeaseRead or ReadFailed.
struct ReadLease {
  ReadConsistency Consistency_ = ReadConsistency::Latest;

  auto operator<=>(ReadLease const &) const = default;
};
/// Write Value_ to the lease object by conditional update.
struct WriteLease {
  Version Expected_ = 0;
  std::string Value_;

  auto operator<=>(WriteLease const &) const = default;
};
/// The lease was acquired, renewed or lost; held() returns the new state.
struct LeaseChanged {
  auto operator<=>(LeaseChanged const &) const = default;
};

using Action = std::variant<ReadLease, WriteLease, LeaseChanged>;

/// When a candidate first reads the lease: after a delay that grows with its
/// rank, or immediately.
enum class FirstRead { ByRank, AtOnce };

struct Settings {
  InstanceId Self_;
  /// Prefix of the identifiers of this instance's previous incarnations, all
  /// of which have ended because this one runs. What follows it holds no dot,
  /// so that names which begin alike differ. Empty when they cannot be
  /// recognised.
  std::string PreviousIncarnations_;
  FirstRead FirstRead_ = FirstRead::ByRank;
  std::uint64_t Seed_ = 0; ///< For nonces; must differ between instances.
  Duration Length_ = std::chrono::seconds(10);
  /// Added to the length before a challenger takes over, to allow for clocks
  /// that run at different rates.
  Duration Margin_ = std::chrono::seconds(1);
  Duration RenewPeriod_ = std::chrono::seconds(3);
  /// How often the first candidates read the lease. The period doubles with
  /// each further rank.
  Duration PollPeriod_ = std::chrono::seconds(2);
  std::uint32_t FirstCandidates_ = 1;
  Duration RetryPause_ = std::chrono::milliseconds(500);
};

/// The key of the lease object.
ObjectKey leaseKey();

} // namespace lease

/// A lease that this instance holds.
struct HeldLease {
  /// The version of the write that acquired the lease. It grows with each
  /// holder.
  std::uint64_t Fencing_ = 0;
  TimePoint GainedAt_;
  /// Until then no other instance can hold the lease.
  TimePoint ValidUntil_;

  auto operator<=>(HeldLease const &) const = default;
};

/// The controller's lease, stored as one object on the platform. Clocks of two
/// instances are never compared: a holder counts the lease from the moment
/// before it sent the last write known to have taken effect. A challenger takes
/// over by conditional update after it has seen the same version for the lease
/// length plus the margin.
class LeaseHolder {
public:
  explicit LeaseHolder(lease::Settings Settings);

  std::vector<lease::Action> handle(lease::Event const &Event, TimePoint Now);

  /// Returns the lease if this instance certainly holds it at Now. The result
  /// is correct even when no event was handled for a long time.
  std::optional<HeldLease> held(TimePoint Now) const;

private:
  /// A version of the lease object and when this instance first saw it.
  struct Observation {
    StoredObject Object_;
    TimePoint Since_;
  };
  /// A write whose outcome is unknown.
  struct UnresolvedWrite {
    Nonce Nonce_;
    TimePoint SentAt_;
  };

  void on(lease::LeaseRead const &Event);
  void on(lease::ReadFailed const &Event);
  void on(lease::LeaseWritten const &Event);
  void on(lease::WriteRefused const &Event);
  void on(lease::WriteFailed const &Event);
  void on(lease::WriteUnknown const &Event);
  void on(lease::MembersChanged const &Event);
  void on(lease::FencedOut const &Event);
  void on(lease::TimePassed const &Event);

  void onRestored(StoredObject const &Object);
  void observe(StoredObject const &Object);
  /// Handles a write that is known to have taken effect and created version
  /// Made.
  void confirmWrite(UnresolvedWrite const &Write, Version NewVersion);
  void challenge();
  bool mayTakeOver() const;
  void read(ReadConsistency Consistency);
  void write(Version Expected);
  void forgetLastWrite();
  void lose();
  void readSoon();
  Duration pollPeriod() const;

  lease::Settings Settings_;
  IdentifierSource Nonces_;
  /// Identifies this incarnation, so that a restarted instance does not mistake
  /// the lease of its paused predecessor for its own.
  InstanceId Incarnation_;
  std::optional<HeldLease> Held_;
  std::optional<Observation> Observed_;
  /// When this instance noticed the last restoration of the store.
  std::optional<TimePoint> RestoredAt_;
  /// Writes with unknown outcome. All of them expect UnresolvedExpected_.
  std::vector<UnresolvedWrite> UnresolvedWrites_;
  Version UnresolvedExpected_ = 0;
  bool IsAwaited_ = false; ///< Whether a read or write is in progress.
  TimePoint NextRead_{};
  TimePoint NextRenewal_{};
  std::size_t Rank_ = 0;
  /// False while this instance is leaving.
  bool IsCandidate_ = false;
  TimePoint Now_;
  std::vector<lease::Action> Actions_;
};

} // namespace laburnum
