#include <LibCallers/ConnectionStream.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>

namespace laburnum {

namespace {

bool waitFor(socket_t Socket, short Events, Duration Timeout) {
  auto const Milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(Timeout).count();
  pollfd Waiting{Socket, Events, 0};
  return ::poll(&Waiting, 1, static_cast<int>(Milliseconds)) > 0;
}

bool isClosedByPeer(socket_t Socket) {
  char Byte = 0;
  return ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace

bool ConnectionStream::is_readable() const {
  return Begin_ != End_ || waitFor(Socket_, POLLIN, ReadTimeout_);
}

bool ConnectionStream::is_writable() const {
  return waitFor(Socket_, POLLOUT, WriteTimeout_) && !isClosedByPeer(Socket_);
}

bool ConnectionStream::waitForRequest(Duration Timeout) const {
  return Begin_ != End_ || waitFor(Socket_, POLLIN, Timeout);
}

void ConnectionStream::beginHead(HeadBounds const &Bounds, TimePoint Now) {
  HeadDeadline_ = Now + Bounds.Timeout_;
  HeadBytesLeft_ = Bounds.MaxBytes_;
  MaxLineBytes_ = Bounds.MaxBytes_;
  LineBytes_ = 0;
  FieldBytes_ = 0;
  Fields_.emplace(Memory_);
  Body_ = RequestBody::Present;
}

void ConnectionStream::endHead(RequestBody Body) {
  HeadDeadline_.reset();
  Body_ = Body;
  IsBroken_ = IsBroken_ || Body == RequestBody::Refused;
}

/// Buffered, since the library reads heads byte by byte.
ssize_t ConnectionStream::read(char *Data, size_t Size) {
  if (IsBroken_ || Body_ != RequestBody::Present)
    return 0;
  auto const Allowed = std::min(Size, allowance());
  if (Allowed == 0 || (Begin_ == End_ && !fill())) {
    IsBroken_ = true;
    return 0;
  }
  auto const Taken = std::min(Allowed, End_ - Begin_);
  std::copy_n(Buffer_.data() + Begin_, Taken, Data);
  Begin_ += Taken;
  if (HeadDeadline_) {
    HeadBytesLeft_ -= Taken;
    IsSilent_ = !countFields(Data, Taken);
    IsBroken_ = IsSilent_;
  } else if (!countLine(Data, Size))
    IsBroken_ = true;
  return IsBroken_ ? 0 : static_cast<ssize_t>(Taken);
}

/// The library and the message each keep a field as two strings in a node.
bool ConnectionStream::countFields(char const *Data, size_t Size) {
  constexpr std::size_t BytesPerField = 256;
  auto const Lines = std::count(Data, Data + Size, '\n');
  FieldBytes_ += 2 * Size + BytesPerField * static_cast<std::size_t>(Lines);
  return Fields_->extend(FieldBytes_);
}

/// The library reads the lines between chunks byte by byte, however long they
/// are, and all else in larger pieces.
bool ConnectionStream::countLine(char const *Data, size_t Size) {
  LineBytes_ = Size > 1 || *Data == '\n' ? 0 : LineBytes_ + 1;
  return LineBytes_ <= MaxLineBytes_;
}

std::size_t ConnectionStream::allowance() const {
  return HeadDeadline_ ? HeadBytesLeft_ : Buffer_.size();
}

bool ConnectionStream::fill() {
  auto Timeout = ReadTimeout_;
  if (HeadDeadline_)
    Timeout = std::min(Timeout, *HeadDeadline_ - readClock());
  if (Timeout <= Duration::zero() || !waitFor(Socket_, POLLIN, Timeout))
    return false;
  auto const Received = ::recv(Socket_, Buffer_.data(), Buffer_.size(), 0);
  if (Received <= 0)
    return false;
  Begin_ = 0;
  End_ = static_cast<size_t>(Received);
  return true;
}

ssize_t ConnectionStream::write(char const *Data, size_t Size) {
  if (IsSilent_ || !waitFor(Socket_, POLLOUT, WriteTimeout_))
    return -1;
  auto const Sent = ::send(Socket_, Data, Size, MSG_NOSIGNAL);
  if (Sent > 0)
    noteProgress(readClock());
  return Sent;
}

} // namespace laburnum
