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

/// The answer to ReadLease.
struct LeaseRead {
  StoredObject Object_;
};
struct ReadFailed {};
/// The answer to WriteLease: the version that the write made.
struct LeaseWritten {
  Version Version_ = 0;
};
/// The object is at another version than the write expected.
struct WriteRefused {};
/// Nothing took effect.
struct WriteFailed {};
/// The write may have taken effect, or may do so later.
struct WriteUnknown {};
struct MembersChanged {
  std::vector<Member> Members_;
};
/// A backend server has seen a higher fencing number than that of the lease.
struct StepDown {};
/// Sent at least five times a second.
struct TimePassed {};

using Event =
    std::variant<LeaseRead, ReadFailed, LeaseWritten, WriteRefused, WriteFailed,
                 WriteUnknown, MembersChanged, StepDown, TimePassed>;

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
/// held() has changed: gained, renewed or lost.
struct LeaseChanged {
  auto operator<=>(LeaseChanged const &) const = default;
};

using Action = std::variant<ReadLease, WriteLease, LeaseChanged>;

/// When a candidate reads the lease for the first time.
enum class FirstRead { ByRank, AtOnce };

struct Settings {
  InstanceId Self_;
  /// Begins the identifiers of this instance's earlier lives, which have ended
  /// since this one runs. Empty: they cannot be told.
  std::string EarlierLives_;
  FirstRead FirstRead_ = FirstRead::ByRank;
  std::uint64_t Seed_ = 0; ///< Of nonces; not shared by two instances.
  Duration Length_ = std::chrono::seconds(10);
  /// What a challenger adds to the length for clocks that run unevenly.
  Duration Margin_ = std::chrono::seconds(1);
  Duration RenewPeriod_ = std::chrono::seconds(3);
  /// How often the first candidates read the lease; each further one waits
  /// twice as long as the one before.
  Duration PollPeriod_ = std::chrono::seconds(2);
  std::uint32_t FirstCandidates_ = 1;
  Duration RetryPause_ = std::chrono::milliseconds(500);
};

/// Where the lease object lies.
ObjectKey leaseKey();

} // namespace lease

/// A lease that this instance holds.
struct HeldLease {
  /// The version of the write that acquired it; grows with each holder.
  std::uint64_t Fencing_ = 0;
  TimePoint GainedAt_;
  /// Until then no other instance can hold it.
  TimePoint ProvenUntil_;

  auto operator<=>(HeldLease const &) const = default;
};

/// The controller's lease, one object of the platform. No two clocks are
/// compared: a holder counts its lease from before it sent the last write that
/// is known to have taken effect, and a challenger takes over, by conditional
/// update, after it has seen one version for the length and margin.
class LeaseHolder {
public:
  explicit LeaseHolder(lease::Settings Settings);

  std::vector<lease::Action> handle(lease::Event const &Event, TimePoint Now);

  /// The lease, if it is proven to be held at Now. Holds also when no event
  /// was handled for a long time.
  std::optional<HeldLease> held(TimePoint Now) const;

private:
  /// A version of the lease object and when this instance first saw it.
  struct Observation {
    StoredObject Object_;
    TimePoint Since_;
  };
  /// A write whose outcome is not known.
  struct SentWrite {
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
  void on(lease::StepDown const &Event);
  void on(lease::TimePassed const &Event);

  void observe(StoredObject const &Object);
  /// The write of this nonce took effect and made this version.
  void proved(SentWrite const &Write, Version Made);
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
  /// Names this life of the instance, so that a restarted one does not take
  /// the lease of its paused predecessor for its own.
  InstanceId Life_;
  std::optional<HeldLease> Held_;
  std::optional<Observation> Seen_;
  /// All of them expect the same version.
  std::vector<SentWrite> Unsettled_;
  Version UnsettledExpected_ = 0;
  bool IsAwaited_ = false; ///< An answer is outstanding.
  TimePoint NextRead_{};
  TimePoint NextRenewal_{};
  std::size_t Rank_ = 0;
  /// Not while this instance is leaving.
  bool IsCandidate_ = false;
  TimePoint Now_;
  std::vector<lease::Action> Actions_;
};

} // namespace laburnum
