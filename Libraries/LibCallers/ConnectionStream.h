#pragma once

#include <LibCore/Time.h>

#include <httplib.h>

#include <array>

namespace laburnum {

/// One connection's bytes for the HTTP library, whose own stream over a socket
/// is not among its public classes. Does not own the socket.
class ConnectionStream : public httplib::Stream {
public:
  /// Timeouts bound each single wait for the other end.
  ConnectionStream(socket_t Socket, Duration ReadTimeout, Duration WriteTimeout)
      : Socket_(Socket), ReadTimeout_(ReadTimeout),
        WriteTimeout_(WriteTimeout) {}

  bool is_readable() const override;
  /// False too when the other end has closed the connection.
  bool is_writable() const override;
  ssize_t read(char *Data, size_t Size) override;
  ssize_t write(char const *Data, size_t Size) override;
  void get_remote_ip_and_port(std::string &, int &) const override {}
  void get_local_ip_and_port(std::string &, int &) const override {}
  socket_t socket() const override { return Socket_; }

  /// Waits for the first byte of the next request.
  bool waitForRequest(Duration Timeout) const;

private:
  bool fill();

  socket_t const Socket_;
  Duration const ReadTimeout_;
  Duration const WriteTimeout_;
  std::array<char, 4096> Buffer_{};
  size_t Begin_ = 0;
  size_t End_ = 0;
};

} // namespace laburnum
