#include <LibBackend/TracedClient.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace laburnum {

static constexpr std::string_view EmptyLine = "\r\n\r\n";
static constexpr std::size_t ReadBufferBytes = 4096;

bool ConnectionTrace::endsWithEmptyLine() const { return Tail_ == EmptyLine; }

static bool isReady(socket_t Socket, short Events, int Milliseconds) {
  pollfd Watched{Socket, Events, 0};
  return poll(&Watched, 1, Milliseconds) > 0;
}

namespace {

class TracedStream final : public httplib::Stream {
public:
  TracedStream(socket_t Socket, int ReadMilliseconds, int WriteMilliseconds,
               ConnectionTrace &Trace)
      : Socket_(Socket), ReadMilliseconds_(ReadMilliseconds),
        WriteMilliseconds_(WriteMilliseconds), Trace_(Trace) {}

  bool is_readable() const override {
    return Taken_ < Filled_ || isReady(Socket_, POLLIN, ReadMilliseconds_);
  }

  bool is_writable() const override {
    return isReady(Socket_, POLLOUT, WriteMilliseconds_);
  }

  ssize_t read(char *Bytes, std::size_t Size) override {
    if (Taken_ == Filled_) {
      auto const Read = fill();
      if (Read <= 0)
        return Read;
    }
    auto const Count = std::min(Size, Filled_ - Taken_);
    std::memcpy(Bytes, Buffer_.data() + Taken_, Count);
    Taken_ += Count;
    recordRead({Bytes, Count});
    return static_cast<ssize_t>(Count);
  }

  ssize_t write(char const *Bytes, std::size_t Size) override {
    if (!is_writable())
      return -1;
    auto const Sent = send(Socket_, Bytes, Size, MSG_NOSIGNAL);
    if (Sent > 0)
      Trace_.BytesWritten_ += static_cast<std::size_t>(Sent);
    return Sent;
  }

  /// Not used by clients, but required by the interface.
  void get_remote_ip_and_port(std::string &, int &) const override {}
  void get_local_ip_and_port(std::string &, int &) const override {}

  socket_t socket() const override { return Socket_; }

private:
  ssize_t fill() {
    if (!is_readable())
      return -1;
    auto const Read = recv(Socket_, Buffer_.data(), Buffer_.size(), 0);
    Taken_ = 0;
    Filled_ = Read > 0 ? static_cast<std::size_t>(Read) : 0;
    return Read;
  }

  void recordRead(std::string_view Bytes) {
    if (Bytes.find('\n') != std::string_view::npos)
      Trace_.HasStatusLine_ = true;
    if (Bytes.size() > EmptyLine.size())
      Bytes.remove_prefix(Bytes.size() - EmptyLine.size());
    Trace_.Tail_.append(Bytes);
    if (Trace_.Tail_.size() > EmptyLine.size())
      Trace_.Tail_.erase(0, Trace_.Tail_.size() - EmptyLine.size());
  }

  socket_t const Socket_;
  int const ReadMilliseconds_;
  int const WriteMilliseconds_;
  ConnectionTrace &Trace_;
  std::array<char, ReadBufferBytes> Buffer_{};
  std::size_t Taken_ = 0;
  std::size_t Filled_ = 0;
};

} // namespace

/// Converts a timeout for poll(), which takes milliseconds as an int; rounds
/// up.
static int toMilliseconds(std::time_t Seconds, std::time_t Microseconds) {
  static constexpr std::int64_t MaxMilliseconds = 86400000; // A day.
  std::int64_t const Milliseconds =
      std::int64_t{Seconds} * 1000 + (Microseconds + 999) / 1000;
  return static_cast<int>(std::min(Milliseconds, MaxMilliseconds));
}

bool TracedClient::process_socket(
    Socket const &Connection,
    std::function<bool(httplib::Stream &Stream)> Callback) {
  TracedStream Stream(
      Connection.sock, toMilliseconds(read_timeout_sec_, read_timeout_usec_),
      toMilliseconds(write_timeout_sec_, write_timeout_usec_), Trace_);
  return Callback(Stream);
}

} // namespace laburnum
