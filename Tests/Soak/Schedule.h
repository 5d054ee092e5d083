#pragma once

#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnum::soak {

enum class FaultKind {
  KillInstance,   ///< SIGKILL, and a start Length_ later.
  StopInstance,   ///< SIGTERM, and a start once it has ended.
  FreezeInstance, ///< SIGSTOP, and SIGCONT Length_ later.
  EndServer,
  StoreSilent,
  StoreBusy,
  StoreLosesWrites,
  StoreForgets, ///< Its history.
  ChangeConfiguration,
};

struct Fault {
  Duration At_{}; ///< Since traffic began.
  FaultKind Kind_ = FaultKind::EndServer;
  std::size_t Target_ = 0; ///< An instance or a server.
  Duration Length_{};

  auto operator<=>(Fault const &) const = default;
};

/// The same for the same seed. Faults come in series and overlap, up to
/// CalmTime before the end.
std::vector<Fault> makeSchedule(std::uint64_t Seed, Duration Length,
                                std::size_t Instances, std::size_t Servers);

/// Without faults at the end, to see that all serve again.
constexpr Duration CalmTime = std::chrono::seconds(12);

std::string describe(Fault const &One);

} // namespace laburnum::soak
