#include <LibCallers/StoppableServer.h>

#include <sys/socket.h>
#include <unistd.h>

namespace laburnum {

namespace {

Duration toDuration(time_t Seconds, time_t Microseconds) {
  return std::chrono::seconds(Seconds) +
         std::chrono::microseconds(Microseconds);
}

/// Of the connection that this thread serves; the library's handlers don't get
/// it.
thread_local ConnectionStream *CurrentStream = nullptr;

} // namespace

void StoppableServer::enlargeBacklog() {
  constexpr int Backlog = 1024;
  ::listen(svr_sock_, Backlog);
}

void StoppableServer::close() {
  {
    std::lock_guard const Lock(Mutex_);
    IsClosed_ = true;
    for (auto const &[Socket, CurrentUse] : Open_)
      if (CurrentUse == Use::Idle)
        ::shutdown(Socket, SHUT_RD);
  }
  stop();
}

void StoppableServer::closeAfterAnswer() { CurrentStream->breakOff(); }

bool StoppableServer::process_and_close_socket(socket_t Socket) {
  ConnectionStream Stream(Socket,
                          toDuration(read_timeout_sec_, read_timeout_usec_),
                          toDuration(write_timeout_sec_, write_timeout_usec_));
  CurrentStream = &Stream;
  auto const KeepAlive = toDuration(keep_alive_timeout_sec_, 0);
  auto IsOpen = true;
  for (auto RequestsLeft = keep_alive_max_count_; RequestsLeft > 0 && IsOpen;
       --RequestsLeft) {
    IsOpen = setUse(Socket, Use::Idle) && Stream.waitForRequest(KeepAlive) &&
             setUse(Socket, Use::Busy);
    auto IsLast = false;
    if (!IsOpen)
      break;
    Stream.beginHead(HeadBounds_, readClock());
    auto const HeadRead = [&](httplib::Request &Head) {
      Stream.endHead(bodyAfter(Head));
    };
    IsOpen = process_request(Stream, RequestsLeft == 1, IsLast, HeadRead) &&
             !IsLast && !Stream.isBroken();
  }
  CurrentStream = nullptr;
  release(Socket);
  return true;
}

/// Without either field there is no body (RFC 9112, section 6.3), but the
/// library would wait for one until its timeout. It would also read a body that
/// is too long to its end before refusing it.
RequestBody StoppableServer::bodyAfter(httplib::Request const &Head) const {
  if (Head.has_header("Transfer-Encoding"))
    return RequestBody::Present;
  if (!Head.has_header("Content-Length"))
    return RequestBody::None;
  auto const Length = Head.get_header_value<std::uint64_t>("Content-Length");
  return Length > payload_max_length_ ? RequestBody::Refused
                                      : RequestBody::Present;
}

bool StoppableServer::setUse(socket_t Socket, Use Now) {
  std::lock_guard const Lock(Mutex_);
  Open_[Socket] = Now;
  return !IsClosed_;
}

void StoppableServer::release(socket_t Socket) {
  std::lock_guard const Lock(Mutex_);
  Open_.erase(Socket);
  ::shutdown(Socket, SHUT_RDWR);
  ::close(Socket);
}

} // namespace laburnum
