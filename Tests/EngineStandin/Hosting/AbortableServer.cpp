#include <EngineStandin/Hosting/AbortableServer.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace laburnum {

static constexpr int IoTimeoutMilliseconds = 5000;
static constexpr int StopCheckMilliseconds = 20;
static constexpr int KeepAliveMilliseconds = 30000;

/// Set by abortConnection() for the connection that this thread serves.
static thread_local bool IsAborted = false;

static bool isReady(socket_t Socket, short Events, int TimeoutMilliseconds) {
  pollfd Watched{Socket, Events, 0};
  return poll(&Watched, 1, TimeoutMilliseconds) > 0;
}

using NameOfSocket = int (*)(int, sockaddr *, socklen_t *);

static void readName(NameOfSocket NameOf, socket_t Socket, std::string &Ip,
                     int &Port) {
  sockaddr_in Name{};
  socklen_t Size = sizeof(Name);
  if (NameOf(Socket, reinterpret_cast<sockaddr *>(&Name), &Size) != 0)
    return;
  Ip = inet_ntoa(Name.sin_addr);
  Port = ntohs(Name.sin_port);
}

namespace {

class SocketStream final : public httplib::Stream {
public:
  explicit SocketStream(socket_t Socket) : Socket_(Socket) {}

  bool is_readable() const override {
    return isReady(Socket_, POLLIN, IoTimeoutMilliseconds);
  }

  bool is_writable() const override {
    if (IsAborted || !isReady(Socket_, POLLOUT, IoTimeoutMilliseconds))
      return false;
    char Byte = 0;
    return recv(Socket_, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
  }

  ssize_t read(char *Bytes, std::size_t Size) override {
    if (!is_readable())
      return -1;
    return recv(Socket_, Bytes, Size, 0);
  }

  ssize_t write(char const *Bytes, std::size_t Size) override {
    if (IsAborted || !isReady(Socket_, POLLOUT, IoTimeoutMilliseconds))
      return -1;
    return send(Socket_, Bytes, Size, MSG_NOSIGNAL);
  }

  void get_remote_ip_and_port(std::string &Ip, int &Port) const override {
    readName(getpeername, Socket_, Ip, Port);
  }

  void get_local_ip_and_port(std::string &Ip, int &Port) const override {
    readName(getsockname, Socket_, Ip, Port);
  }

  socket_t socket() const override { return Socket_; }

private:
  socket_t const Socket_;
};

} // namespace

void AbortableServer::raiseBacklog() { ::listen(svr_sock_, SOMAXCONN); }

void AbortableServer::abortConnection() { IsAborted = true; }

bool AbortableServer::waitForRequest(socket_t Socket) const {
  for (int Waited = 0; Waited < KeepAliveMilliseconds;
       Waited += StopCheckMilliseconds) {
    if (svr_sock_ == INVALID_SOCKET)
      return false;
    if (isReady(Socket, POLLIN, StopCheckMilliseconds))
      return true;
  }
  return false;
}

bool AbortableServer::process_and_close_socket(socket_t Socket) {
  IsAborted = false;
  bool Succeeded = false;
  bool IsClosed = false;
  SocketStream Stream(Socket);
  while (!IsClosed && !IsAborted && waitForRequest(Socket)) {
    Succeeded = process_request(Stream, false, IsClosed, nullptr);
    if (!Succeeded)
      break;
  }
  if (IsAborted) {
    linger const ResetAtClose{1, 0};
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &ResetAtClose,
               sizeof(ResetAtClose));
  } else {
    ::shutdown(Socket, SHUT_RDWR);
  }
  ::close(Socket);
  return Succeeded;
}

} // namespace laburnum
