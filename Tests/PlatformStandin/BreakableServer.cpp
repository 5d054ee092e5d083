#include <PlatformStandin/BreakableServer.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace laburnum {

namespace {

/// How long an idle connection stays open.
constexpr int KeepAliveMilliseconds = 5000;
/// How long one read or write of a call may block.
constexpr int TransferMilliseconds = 5000;

/// Whether the response of this thread's current call is dropped.
thread_local bool IsAnswerDropped = false;

bool waitFor(socket_t Socket, short Events, int Milliseconds) {
  pollfd Waiting{Socket, Events, 0};
  return ::poll(&Waiting, 1, Milliseconds) > 0;
}

/// Replaces the library's socket stream, which is not public.
class BreakableStream : public httplib::Stream {
public:
  explicit BreakableStream(socket_t Socket) : Socket_(Socket) {}

  bool is_readable() const override {
    return waitFor(Socket_, POLLIN, TransferMilliseconds);
  }
  bool is_writable() const override {
    return waitFor(Socket_, POLLOUT, TransferMilliseconds);
  }
  ssize_t read(char *Data, size_t Size) override {
    // The library reads request heads byte by byte.
    if (Begin_ == End_ && !fill())
      return 0;
    auto const Taken = std::min(Size, End_ - Begin_);
    std::copy_n(Buffer_ + Begin_, Taken, Data);
    Begin_ += Taken;
    return static_cast<ssize_t>(Taken);
  }
  ssize_t write(char const *Data, size_t Size) override {
    if (IsAnswerDropped || !is_writable())
      return -1;
    return ::send(Socket_, Data, Size, MSG_NOSIGNAL);
  }
  void get_remote_ip_and_port(std::string &, int &) const override {}
  void get_local_ip_and_port(std::string &, int &) const override {}
  socket_t socket() const override { return Socket_; }

  bool hasBuffered() const { return Begin_ != End_; }

private:
  bool fill() {
    if (!is_readable())
      return false;
    auto const Received = ::recv(Socket_, Buffer_, sizeof(Buffer_), 0);
    if (Received <= 0)
      return false;
    Begin_ = 0;
    End_ = static_cast<size_t>(Received);
    return true;
  }

  socket_t Socket_;
  char Buffer_[4096];
  size_t Begin_ = 0;
  size_t End_ = 0;
};

} // namespace

void BreakableServer::dropAnswer() { IsAnswerDropped = true; }

void BreakableServer::raiseBacklog() { ::listen(svr_sock_, SOMAXCONN); }

void BreakableServer::close() {
  {
    std::lock_guard const Lock(Mutex_);
    IsClosed_ = true;
    for (auto const Socket : OpenSockets_)
      ::shutdown(Socket, SHUT_RD);
  }
  stop();
}

bool BreakableServer::process_and_close_socket(socket_t Socket) {
  if (!admit(Socket)) {
    ::close(Socket);
    return false;
  }
  BreakableStream Stream(Socket);
  auto IsOpen = true;
  while (IsOpen && (Stream.hasBuffered() ||
                    waitFor(Socket, POLLIN, KeepAliveMilliseconds))) {
    IsAnswerDropped = false;
    auto IsLast = false;
    IsOpen = process_request(Stream, false, IsLast, nullptr) && !IsLast &&
             !IsAnswerDropped;
  }
  release(Socket);
  return true;
}

bool BreakableServer::admit(socket_t Socket) {
  std::lock_guard const Lock(Mutex_);
  if (!IsClosed_)
    OpenSockets_.insert(Socket);
  return !IsClosed_;
}

void BreakableServer::release(socket_t Socket) {
  std::lock_guard const Lock(Mutex_);
  OpenSockets_.erase(Socket);
  ::shutdown(Socket, SHUT_RDWR);
  ::close(Socket);
}

} // namespace laburnum
