#pragma once

#include <LibTraffic/ServerRoster.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace laburnum {

/// A request that waits for a server.
struct WaitingRequest {
  std::uint64_t Ticket_ = 0;
  ServerQuery Query_;
  std::int32_t Rank_ = 0; ///< 0 goes first.
  TimePoint GiveUpAt_;    ///< A start after this is of no use.

  auto operator<=>(WaitingRequest const &) const = default;
};

/// What becomes of a waiting request.
struct Admitted {
  std::uint64_t Ticket_ = 0;
  ServerRecord Server_;

  auto operator<=>(Admitted const &) const = default;
};
struct TurnedAway {
  std::uint64_t Ticket_ = 0;
  std::string Reason_;
  Duration RetryAfter_{};

  auto operator<=>(TurnedAway const &) const = default;
};
using AdmissionOutcome = std::variant<Admitted, TurnedAway>;

/// Requests that found every server of their service full wait here, the most
/// urgent first and then the oldest. A request whose time to start has passed
/// is turned away at once, and so is one for whose service every server has
/// asked for a pause beyond that time.
class AdmissionQueue {
public:
  explicit AdmissionQueue(ServerRoster &Roster) : Roster_(Roster) {}

  std::vector<AdmissionOutcome> add(WaitingRequest Request, TimePoint Now);
  void remove(std::uint64_t Ticket);
  /// A server may have room, or time has passed.
  std::vector<AdmissionOutcome> advance(TimePoint Now);
  std::size_t size() const { return Waiting_.size(); }
  std::map<ServiceName, std::uint32_t> waitingByService() const;

private:
  struct Place {
    std::int32_t Rank_;
    std::uint64_t Ticket_;
    auto operator<=>(Place const &) const = default;
  };

  std::optional<AdmissionOutcome> tryAdmit(WaitingRequest const &Request,
                                           TimePoint Now);

  ServerRoster &Roster_;
  std::map<Place, WaitingRequest> Waiting_;
};

} // namespace laburnum
