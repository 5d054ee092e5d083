#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibModel/AttemptEvidence.h>
#include <LibModel/BackendServer.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace laburnum {

/// Criteria for choosing a server.
struct RouteQuery {
  ServiceName Service_;
  std::uint64_t Fingerprint_ = 0;
  std::string Prompt_;          ///< Empty for plain services.
  std::uint32_t MaxTokens_ = 0; ///< 0 for plain services.
  std::int32_t Priority_ = 0;
  std::set<ServerId> Excluded_;  ///< Servers on which this request failed.
  std::optional<ServerId> Only_; ///< If set, the only server to consider.

  auto operator<=>(RouteQuery const &) const = default;
};

/// Chooses the backend server for an attempt and counts the attempts running on
/// each server. Implementations are thread-safe.
class ServerChooser {
public:
  virtual ~ServerChooser() = default;

  /// Errors: NotFound (the service has no server), Unavailable (none accepts
  /// new work now), ResourceExhausted (all are full), InvalidArgument (the
  /// request is known to crash servers).
  virtual Result<BackendServer> choose(RouteQuery const &Query,
                                       TimePoint Now) = 0;

  /// Returns how long to wait before choose() may be called for this request,
  /// or nothing if it may be called now.
  virtual std::optional<Duration> choiceDelay(RouteQuery const & /*Query*/,
                                              TimePoint /*Now*/) {
    return std::nullopt;
  }

  /// To be called once for each chosen server, with the evidence of the
  /// attempt.
  virtual void release(ServerId const &Server, RouteQuery const &Query,
                       AttemptEvidence const &Evidence, TimePoint Now) = 0;
};

/// A chooser that exposes its state of each server.
class ObservableChooser : public ServerChooser {
public:
  /// Returns the number of attempts that were chosen and not yet released.
  virtual std::uint32_t running(ServerId const &Server) const = 0;
  /// Returns whether the server is backed off after failures.
  virtual bool isBackedOff(ServerId const &Server, TimePoint Now) const = 0;
};

/// Limits retries in proportion to requests, so that a failing service gets at
/// most its budget more requests than a healthy one.
class RetryAllowance {
public:
  virtual ~RetryAllowance() = default;
  virtual void countRequest(ServiceName const &Service, TimePoint Now) = 0;
  /// Takes a retry from the budget. Returns false if none is left.
  virtual bool tryTake(ServiceName const &Service, TimePoint Now) = 0;
};

} // namespace laburnum
