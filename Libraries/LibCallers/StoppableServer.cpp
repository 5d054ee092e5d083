#include <LibCallers/StoppableServer.h>

#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace laburnum {

namespace {

Duration toDuration(time_t Seconds, time_t Microseconds) {
  return std::chrono::seconds(Seconds) +
         std::chrono::microseconds(Microseconds);
}

/// Of the connection that this thread serves; the library's handlers don't get
/// it.
thread_local ConnectionStream *CurrentStream = nullptr;

/// Whether the kernel holds bytes of the caller that no thread has read.
bool hasUnreadBytes(socket_t Socket) {
  int Bytes = 0;
  return ::ioctl(Socket, FIONREAD, &Bytes) == 0 && Bytes > 0;
}

} // namespace

void StoppableServer::enlargeBacklog() {
  constexpr int Backlog = 1024;
  ::listen(svr_sock_, Backlog);
}

void StoppableServer::close() {
  {
    std::lock_guard const Lock(Mutex_);
    IsClosed_ = true;
    for (auto const &[Socket, Current] : Open_)
      if (Current.Use_ == Use::Idle && !hasUnreadBytes(Socket))
        ::shutdown(Socket, SHUT_RD);
  }
  stop();
}

void StoppableServer::makeRoom() {
  std::lock_guard const Lock(Mutex_);
  ++Owed_;
  closeOwed();
}

void StoppableServer::closeOwed() {
  while (Owed_ > 0) {
    auto Longest = Open_.end();
    for (auto Each = Open_.begin(); Each != Open_.end(); ++Each) {
      auto const &Current = Each->second;
      if ((Current.Use_ == Use::Idle || Current.Use_ == Use::Reading) &&
          (Longest == Open_.end() || Current.Since_ < Longest->second.Since_) &&
          !hasUnreadBytes(Each->first))
        Longest = Each;
    }
    if (Longest == Open_.end())
      return;
    --Owed_;
    Longest->second.Use_ = Use::Closing;
    // The rest of a begun request counts as missing, and it is refused.
    ::shutdown(Longest->first, SHUT_RD);
  }
}

bool StoppableServer::beginServing() {
  std::lock_guard const Lock(Mutex_);
  auto &Current = Open_.at(CurrentStream->socket());
  if (Current.Use_ == Use::Closing)
    return false;
  Current.Use_ = Use::Serving;
  return true;
}

std::map<socket_t, StoppableServer::Connection>::iterator
StoppableServer::stalest() {
  auto Stalest = Open_.end();
  for (auto Each = Open_.begin(); Each != Open_.end(); ++Each)
    if (Each->second.Use_ == Use::Answering &&
        (Stalest == Open_.end() || Each->second.Stream_->lastProgress() <
                                       Stalest->second.Stream_->lastProgress()))
      Stalest = Each;
  return Stalest;
}

void StoppableServer::beginAnswer(std::size_t Bytes, TimePoint Now) {
  if (Bytes <= BodyMemory::Share::FreeBytes)
    return;
  std::lock_guard const Lock(Mutex_);
  for (auto Next = stalest();
       Unwritten_ + Bytes > MaxUnwritten_ && Next != Open_.end();
       Next = stalest()) {
    Next->second.Use_ = Use::GivenUp;
    Unwritten_ -= std::exchange(Next->second.Unwritten_, 0);
    ::shutdown(Next->first, SHUT_RDWR);
  }
  CurrentStream->noteProgress(Now);
  Open_.at(CurrentStream->socket()) = {Use::Answering, ++Changes_, Bytes,
                                       CurrentStream};
  Unwritten_ += Bytes;
}

void StoppableServer::closeAfterAnswer() { CurrentStream->breakOff(); }

bool StoppableServer::process_and_close_socket(socket_t Socket) {
  ConnectionStream Stream(
      Socket, toDuration(read_timeout_sec_, read_timeout_usec_),
      toDuration(write_timeout_sec_, write_timeout_usec_), Memory_);
  CurrentStream = &Stream;
  auto const KeepAlive = toDuration(keep_alive_timeout_sec_, 0);
  auto IsOpen = true;
  for (auto RequestsLeft = keep_alive_max_count_; RequestsLeft > 0 && IsOpen;
       --RequestsLeft) {
    IsOpen = setUse(Socket, Use::Idle) && Stream.waitForRequest(KeepAlive) &&
             setUse(Socket, Use::Reading);
    auto IsLast = false;
    if (!IsOpen)
      break;
    bool const ClosesAfterAnswer = RequestsLeft == 1 || isClosed();
    Stream.beginHead(HeadBounds_, readClock());
    auto const HeadRead = [&](httplib::Request &Head) {
      Stream.endHead(bodyAfter(Head));
    };
    IsOpen = process_request(Stream, ClosesAfterAnswer, IsLast, HeadRead) &&
             !IsLast && !Stream.isBroken();
    Stream.endRequest();
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

bool StoppableServer::isClosed() {
  std::lock_guard const Lock(Mutex_);
  return IsClosed_;
}

bool StoppableServer::setUse(socket_t Socket, Use Now) {
  std::lock_guard const Lock(Mutex_);
  auto &Current = Open_[Socket];
  Unwritten_ -= std::exchange(Current.Unwritten_, 0);
  if (Current.Use_ == Use::Closing || Current.Use_ == Use::GivenUp)
    return false;
  if (IsClosed_ && Now == Use::Idle && !hasUnreadBytes(Socket))
    return false;
  Current = {Now, ++Changes_};
  // Those that wait for a thread may have been too early to find one to close.
  closeOwed();
  return Current.Use_ != Use::Closing;
}

void StoppableServer::release(socket_t Socket) {
  std::lock_guard const Lock(Mutex_);
  auto const &Current = Open_.at(Socket);
  if (Owed_ > 0 && Current.Use_ != Use::Closing)
    --Owed_;
  Unwritten_ -= Current.Unwritten_;
  Open_.erase(Socket);
  ::shutdown(Socket, SHUT_RDWR);
  ::close(Socket);
}

} // namespace laburnum
