#pragma once

#include <LibTraffic/ServerRoster.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace laburnum {

/// A request queued for a server.
struct WaitingRequest {
  std::uint64_t Ticket_ = 0;
  ServerQuery Query_;
  std::int32_t Rank_ = 0; ///< Priority; 0 is served first.
  TimePoint GiveUpAt_;    ///< Latest useful start.

  auto operator<=>(WaitingRequest const &) const = default;
};

/// A queued request that was assigned a server.
struct Admitted {
  std::uint64_t Ticket_ = 0;
  ServerRecord Server_;

  auto operator<=>(Admitted const &) const = default;
};
struct Rejected {
  std::uint64_t Ticket_ = 0;
  std::string Reason_;
  Duration RetryAfter_{};

  auto operator<=>(Rejected const &) const = default;
};
using AdmissionOutcome = std::variant<Admitted, Rejected>;

/// Queues requests while every server of their service is full, ordered by
/// priority and then by age. A request is rejected at once if its latest useful
/// start has passed, if it continues a stream and no server can, or if by then
/// the servers of its service, which all have requested a backoff or have a
/// rate limit, take no more requests than are queued before it.
class AdmissionQueue {
public:
  explicit AdmissionQueue(ServerRoster &Roster) : Roster_(Roster) {}

  std::vector<AdmissionOutcome> add(WaitingRequest Request, TimePoint Now);
  void remove(std::uint64_t Ticket);
  /// Retries queued requests after capacity was freed or time has passed.
  std::vector<AdmissionOutcome> advance(TimePoint Now);
  std::size_t size() const { return Waiting_.size(); }
  std::map<ServiceName, std::uint32_t> waitingByService() const;

private:
  struct QueueKey {
    std::int32_t Rank_;
    std::uint64_t Ticket_;
    auto operator<=>(QueueKey const &) const = default;
  };

  /// Ahead: requests of the same service that are queued before this one.
  std::optional<AdmissionOutcome> tryAdmit(WaitingRequest const &Request,
                                           std::size_t Ahead, TimePoint Now);
  std::size_t countAhead(WaitingRequest const &Request) const;

  ServerRoster &Roster_;
  std::map<QueueKey, WaitingRequest> Waiting_;
};

} // namespace laburnum
