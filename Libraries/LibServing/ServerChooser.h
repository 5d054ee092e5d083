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

/// What a choice of server may depend on.
struct RouteQuery {
  ServiceName Service_;
  std::uint64_t Fingerprint_ = 0;
  std::string Prompt_;          ///< Empty for plain services.
  std::uint32_t MaxTokens_ = 0; ///< 0 for plain services.
  std::int32_t Priority_ = 0;
  std::set<ServerId> Excluded_;  ///< Servers that this request failed on.
  std::optional<ServerId> Only_; ///< No other server may be chosen.

  auto operator<=>(RouteQuery const &) const = default;
};

/// Chooses the backend server for an attempt and keeps count of what runs
/// where. Implementations are safe to call from several threads.
class ServerChooser {
public:
  virtual ~ServerChooser() = default;

  /// Errors: NotFound (the service has no server), Unavailable (none takes new
  /// work now), ResourceExhausted (all are full), InvalidArgument (the request
  /// is known to crash servers).
  virtual Result<BackendServer> choose(RouteQuery const &Query,
                                       TimePoint Now) = 0;

  /// How long to wait before choose() may be called for this request; nothing
  /// when it may be called now.
  virtual std::optional<Duration> holdBack(RouteQuery const & /*Query*/,
                                           TimePoint /*Now*/) {
    return std::nullopt;
  }

  /// Each chosen server is released once, with what the attempt saw.
  virtual void release(ServerId const &Server, RouteQuery const &Query,
                       AttemptEvidence const &Evidence, TimePoint Now) = 0;
};

/// A chooser that tells what it knows of each server.
class ObservableChooser : public ServerChooser {
public:
  /// Attempts that were chosen and not yet released.
  virtual std::uint32_t running(ServerId const &Server) const = 0;
  /// True while the server is left out because it failed.
  virtual bool isAvoided(ServerId const &Server, TimePoint Now) const = 0;
};

/// Allows retries in proportion to requests, so that a failing service is not
/// asked more often than a healthy one by more than its budget.
class RetryAllowance {
public:
  virtual ~RetryAllowance() = default;
  virtual void countRequest(ServiceName const &Service, TimePoint Now) = 0;
  /// True, and the retry is counted, when the budget holds one.
  virtual bool tryTake(ServiceName const &Service, TimePoint Now) = 0;
};

} // namespace laburnum
