#pragma once

#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnum::soak {

enum class FaultKind {
  KillInstance,   ///< SIGKILL, restarted Length_ later.
  StopInstance,   ///< SIGTERM, restarted once it has exited.
  FreezeInstance, ///< SIGSTOP, SIGCONT Length_ later.
  EndServer,
  StoreSilent,
  StoreBusy,
  StoreLosesWrites,
  StoreLosesHistory, ///< The store drops its change history.
  ChangeConfiguration,
  LimitServer, ///< The server states a rate limit in its answers.
};

struct Fault {
  Duration At_{}; ///< Offset from the start of traffic.
  FaultKind Kind_ = FaultKind::EndServer;
  std::size_t Target_ = 0; ///< An instance or a server.
  Duration Length_{};

  auto operator<=>(Fault const &) const = default;
};

/// The rate limits that servers state, chosen by a fault's target and length.
/// The last one is unreadable.
std::string rateLimitOf(Fault const &One);

/// Faults at random times, which may overlap, all over by FaultFreeTime before
/// the end. The same arguments give the same schedule.
std::vector<Fault> makeSchedule(std::uint64_t Seed, Duration Length,
                                std::size_t Instances, std::size_t Servers);

/// The time without faults at the end, to check that all instances serve again.
constexpr Duration FaultFreeTime = std::chrono::seconds(12);

std::string describe(Fault const &One);

} // namespace laburnum::soak
