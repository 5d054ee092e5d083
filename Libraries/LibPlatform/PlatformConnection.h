#pragma once

#include <LibCore/Time.h>
#include <LibModel/BackendServer.h>

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace httplib {
class Client;
} // namespace httplib

namespace laburnum {

/// One HTTP call to the platform. Path_ is percent-encoded and includes the
/// query.
struct PlatformCall {
  std::string Method_;
  std::string Path_;
  std::string Body_; ///< JSON, or empty.

  auto operator<=>(PlatformCall const &) const = default;
};

/// A complete answer of any status.
struct PlatformAnswer {
  std::int32_t Status_ = 0;
  std::string Body_;

  auto operator<=>(PlatformAnswer const &) const = default;
};

/// How far a call that got no complete answer had been sent.
enum class SendProgress {
  NotSent,         ///< No byte of the call left this process.
  MayHaveBeenSent, ///< The platform may have received the call.
};

struct TransportFailure {
  SendProgress Progress_ = SendProgress::NotSent;
  std::string Detail_;

  auto operator<=>(TransportFailure const &) const = default;
};

using PlatformReply = std::variant<PlatformAnswer, TransportFailure>;

/// Calls the platform over a small pool of keep-alive connections. Calls are
/// not retried. Thread-safe; each call has its own connection while it lasts.
class PlatformConnection {
public:
  explicit PlatformConnection(Endpoint Platform);
  ~PlatformConnection();

  /// Blocks for at most Timeout, up to half of which is for connecting.
  /// FIXME: An answer whose head arrives in small pieces can take longer.
  PlatformReply call(PlatformCall const &Call, Duration Timeout);

  /// Interrupts the calls in progress, waits until they have returned and fails
  /// all later ones, so that threads blocked in a watch can be joined.
  void close();

private:
  struct IdleClient {
    std::unique_ptr<httplib::Client> Client_;
    TimePoint IdleSince_;
  };

  std::unique_ptr<httplib::Client> borrow(TimePoint Now);
  void returnClient(std::unique_ptr<httplib::Client> Client, TimePoint Now,
                    bool IsReusable);

  Endpoint const Platform_;
  std::mutex Mutex_; ///< Guards all members below.
  std::condition_variable Returned_;
  std::vector<IdleClient> Idle_;
  std::set<httplib::Client *> Busy_;
  bool IsClosed_ = false;
};

} // namespace laburnum
