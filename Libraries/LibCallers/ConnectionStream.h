#pragma once

#include <LibCallers/HeadBounds.h>
#include <LibCore/BodyMemory.h>

#include <httplib.h>

#include <array>
#include <atomic>
#include <optional>

namespace laburnum {

/// Whether a body follows the head of a request.
enum class RequestBody {
  None,    ///< Neither a length nor chunks: reads return end of input.
  Present, ///< Reads wait for the peer.
  Refused, ///< Exceeds the limit: reads fail and the connection closes.
};

/// A stream over a socket for the HTTP library. The library's own one is not
/// public, and it limits neither the number of fields nor the time to read a
/// head. Does not own the socket.
class ConnectionStream : public httplib::Stream {
public:
  /// The timeouts apply to each single wait for the peer.
  /// Memory counts what the fields of heads take.
  ConnectionStream(socket_t Socket, Duration ReadTimeout, Duration WriteTimeout,
                   BodyMemory &Memory)
      : Socket_(Socket), ReadTimeout_(ReadTimeout), WriteTimeout_(WriteTimeout),
        Memory_(Memory) {}

  bool is_readable() const override;
  /// False also when the peer has closed the connection.
  bool is_writable() const override;
  ssize_t read(char *Data, size_t Size) override;
  ssize_t write(char const *Data, size_t Size) override;
  void get_remote_ip_and_port(std::string &, int &) const override {}
  void get_local_ip_and_port(std::string &, int &) const override {}
  socket_t socket() const override { return Socket_; }

  /// When the peer has last taken bytes, as this was noted or written.
  TimePoint lastProgress() const { return LastProgress_; }
  void noteProgress(TimePoint Now) { LastProgress_ = Now; }

  /// Waits for the first byte of the next request.
  bool waitForRequest(Duration Timeout) const;

  /// Starts reading a head, within Bounds.
  void beginHead(HeadBounds const &Bounds, TimePoint Now);
  /// Ends reading the head; Body says whether a body follows.
  void endHead(RequestBody Body);
  /// Reads nothing more, as the rest of a body will not be read.
  void breakOff() { IsBroken_ = true; }
  /// Returns the memory of the last request.
  void endRequest() { Fields_.reset(); }
  /// A bound was exceeded or a body refused, so that the start of the next
  /// request is unknown.
  bool isBroken() const { return IsBroken_; }

private:
  bool fill();
  /// How many bytes may still be read within the bounds of the head.
  std::size_t allowance() const;
  /// Counts the memory of a head's fields; false if there is no room.
  bool countFields(char const *Data, std::size_t Size);
  /// Counts what was read of a body; false if a line in it is too long.
  bool countLine(char const *Data, size_t Size);

  socket_t const Socket_;
  Duration const ReadTimeout_;
  Duration const WriteTimeout_;
  BodyMemory &Memory_;
  std::optional<BodyMemory::Share> Fields_;
  std::size_t FieldBytes_ = 0;
  std::array<char, 4096> Buffer_{};
  size_t Begin_ = 0;
  size_t End_ = 0;
  /// Set while a head is being read.
  std::optional<TimePoint> HeadDeadline_;
  std::size_t HeadBytesLeft_ = 0;
  std::size_t MaxLineBytes_ = 0;
  std::size_t LineBytes_ = 0;
  RequestBody Body_ = RequestBody::Present;
  bool IsBroken_ = false;
  /// Nothing is written, as a refusal would blame the request.
  bool IsSilent_ = false;
  std::atomic<TimePoint> LastProgress_{}; ///< Read by other threads.
};

} // namespace laburnum
