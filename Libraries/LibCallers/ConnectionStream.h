#pragma once

#include <LibCallers/HeadBounds.h>

#include <httplib.h>

#include <array>
#include <optional>

namespace laburnum {

/// What follows the head of a request.
enum class BodyAhead {
  None,   ///< Neither a length nor chunks: reads end at once.
  Some,   ///< Reads wait for the other end.
  Refuse, ///< Longer than is taken: reads end, and so does the connection.
};

/// One connection's bytes for the HTTP library, whose own stream over a socket
/// is not among its public classes, and which bounds neither the number of
/// fields nor the time of a head. Does not own the socket.
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

  /// The head of a request is read next, within the bounds.
  void beginHead(HeadBounds const &Bounds, TimePoint Now);
  /// The head was read.
  void endHead(BodyAhead Ahead);
  /// A bound was passed or a body refused: what follows cannot be told apart.
  bool isBroken() const { return IsBroken_; }

private:
  bool fill();
  /// The bytes that may still be taken, by the bounds of the head.
  std::size_t allowance() const;

  socket_t const Socket_;
  Duration const ReadTimeout_;
  Duration const WriteTimeout_;
  std::array<char, 4096> Buffer_{};
  size_t Begin_ = 0;
  size_t End_ = 0;
  /// Set while a head is read.
  std::optional<TimePoint> HeadDeadline_;
  std::size_t HeadBytesLeft_ = 0;
  BodyAhead Ahead_ = BodyAhead::Some;
  bool IsBroken_ = false;
};

} // namespace laburnum
