#include <LibPlatform/PlatformConnection.h>

#include <httplib.h>

namespace laburnum {

namespace {

constexpr std::size_t MaxIdleClients = 8;

/// Below the server's idle timeout, so that a put is not sent on a connection
/// that the server is closing.
constexpr Duration MaxIdleTime = std::chrono::seconds(1);

/// Interval at which close() interrupts the calls still in progress.
constexpr Duration StopInterval = std::chrono::milliseconds(10);

void setTimeouts(httplib::Client &Client, Duration Timeout) {
  auto const Connecting = Timeout / 2;
  auto const Exchange =
      Client.is_socket_open() ? Timeout : Timeout - Connecting;
  Client.set_connection_timeout(Connecting);
  Client.set_write_timeout(Exchange);
  Client.set_read_timeout(Exchange);
}

httplib::Request requestFor(PlatformCall const &Call, TimePoint Deadline) {
  httplib::Request Request;
  Request.method = Call.Method_;
  Request.path = Call.Path_;
  Request.body = Call.Body_;
  if (!Call.Body_.empty())
    Request.set_header("Content-Type", "application/json");
  Request.progress = [Deadline](std::uint64_t, std::uint64_t) {
    return readClock() < Deadline;
  };
  return Request;
}

SendProgress progressOf(httplib::Error Failure) {
  switch (Failure) {
  case httplib::Error::Connection:
  case httplib::Error::ConnectionTimeout:
  case httplib::Error::BindIPAddress:
    return SendProgress::NotSent;
  default:
    return SendProgress::MayHaveBeenSent;
  }
}

} // namespace

PlatformConnection::PlatformConnection(Endpoint Platform)
    : Platform_(std::move(Platform)) {}

PlatformConnection::~PlatformConnection() = default;

PlatformReply PlatformConnection::call(PlatformCall const &Call,
                                       Duration Timeout) {
  if (Timeout <= Duration::zero())
    return TransportFailure{SendProgress::NotSent, "no time was left"};
  auto const Deadline = readClock() + Timeout;
  auto Client = borrow(readClock());
  if (!Client)
    return TransportFailure{SendProgress::NotSent, "the connection is closed"};
  setTimeouts(*Client, Timeout);
  auto Request = requestFor(Call, Deadline);
  httplib::Response Response;
  auto Failure = httplib::Error::Success;
  auto const IsAnswered = Client->send(Request, Response, Failure);
  returnClient(std::move(Client), readClock(), IsAnswered);
  if (!IsAnswered)
    return TransportFailure{progressOf(Failure), httplib::to_string(Failure)};
  return PlatformAnswer{Response.status, std::move(Response.body)};
}

std::unique_ptr<httplib::Client> PlatformConnection::borrow(TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  if (IsClosed_)
    return nullptr;
  std::unique_ptr<httplib::Client> Client;
  if (!Idle_.empty() && Now - Idle_.back().IdleSince_ < MaxIdleTime) {
    Client = std::move(Idle_.back().Client_);
    Idle_.pop_back();
  } else {
    // The last client is the most recently used: all others have expired too.
    Idle_.clear();
    Client =
        std::make_unique<httplib::Client>(Platform_.Host_, Platform_.Port_);
    Client->set_keep_alive(true);
    Client->set_tcp_nodelay(true);
  }
  Busy_.insert(Client.get());
  return Client;
}

void PlatformConnection::returnClient(std::unique_ptr<httplib::Client> Client,
                                      TimePoint Now, bool IsReusable) {
  std::lock_guard const Lock(Mutex_);
  Busy_.erase(Client.get());
  Returned_.notify_all();
  if (!IsReusable || IsClosed_ || Idle_.size() >= MaxIdleClients)
    return;
  Idle_.push_back({std::move(Client), Now});
}

void PlatformConnection::close() {
  std::unique_lock Lock(Mutex_);
  IsClosed_ = true;
  Idle_.clear();
  // Stopping a client that has not begun to send has no effect, hence the loop.
  while (!Busy_.empty()) {
    for (auto *Client : Busy_)
      Client->stop();
    Returned_.wait_for(Lock, StopInterval);
  }
}

} // namespace laburnum
