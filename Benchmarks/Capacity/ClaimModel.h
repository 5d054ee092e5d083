#pragma once

#include "CpuMeter.h"
#include "VirtualTime.h"

#include <LibServing/ClaimJournal.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace laburnum::bench {

struct ClaimShape {
  std::uint32_t Instances_ = 8;
  double ClaimsPerSecond_ = 100; ///< Over all instances.
  Duration ServiceTime_ = std::chrono::milliseconds(50);

  auto operator<=>(ClaimShape const &) const = default;
};

struct ClaimCounters {
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
  std::uint64_t Conflicts_ = 0;
  std::uint64_t WrittenBytes_ = 0;
  std::uint64_t ReadBytes_ = 0;
  std::uint64_t LargestBytes_ = 0;
  std::uint64_t Granted_ = 0;
  std::uint64_t Refused_ = 0;
  Duration TotalWait_{}; ///< Sum over all granted claims.

  auto operator<=>(ClaimCounters const &) const = default;
};

/// Simulates the claim journals of many instances that share the platform's
/// buckets, in virtual time. Each granted claim's outcome is recorded after the
/// service time.
class ClaimModel {
public:
  explicit ClaimModel(ClaimShape Shape);

  void runFor(Duration Span) { Time_.runFor(Span); }
  void reset();
  ClaimCounters const &counters() const { return Counters_; }
  double cpuSeconds() const { return Cpu_.total(); }

private:
  struct Pending {
    claims::ClaimRequest Claim_;
    TimePoint RequestedAt_;
  };

  void arrive();
  void tick(std::uint32_t Instance);
  void feed(std::uint32_t Instance, claims::Event const &Event);
  void perform(std::uint32_t Instance, claims::ReadBucket const &Action);
  void perform(std::uint32_t Instance, claims::WriteBucket const &Action);
  void perform(std::uint32_t Instance, claims::ResolveClaim const &Action);

  ClaimShape const Shape_;
  VirtualTime Time_;
  CpuMeter Cpu_;
  std::mt19937_64 Generator_;
  std::vector<std::unique_ptr<ClaimJournal>> Journals_;
  std::map<ObjectKey, StoredObject> Store_;
  Version Version_ = 0;
  std::map<claims::Ticket, Pending> Pending_;
  claims::Ticket NextTicket_ = 1;
  ClaimCounters Counters_;
};

} // namespace laburnum::bench
