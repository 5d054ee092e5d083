#pragma once

#include <LibCallers/ConnectionStream.h>

#include <httplib.h>

#include <cstdint>
#include <map>
#include <mutex>

namespace laburnum {

/// The HTTP library's server with four changes: a stop does not wait for idle
/// connections, which the library keeps until their timeout; the backlog is
/// long enough for bursts of new connections; a connection that waits for
/// its caller cannot keep others from being served; and the answers that
/// callers do not read take limited memory.
class StoppableServer : public httplib::Server {
public:
  explicit StoppableServer(BodyMemory &Memory) : Memory_(Memory) {}

  /// Must be called before listening.
  void setHeadBounds(HeadBounds const &Bounds) { HeadBounds_ = Bounds; }

  /// Must be called before listening. Limits the answers that are being written
  /// together, but not a single one.
  void setMaxUnwritten(std::size_t Bytes) { MaxUnwritten_ = Bytes; }

  /// Raises the backlog above the library's 5. Must be called between binding
  /// and listening.
  void enlargeBacklog();

  /// Accepts no more connections; closes idle ones at once and the others after
  /// their current request. Requests that have arrived unread are answered.
  void close();

  /// Makes room for a connection that waits for a thread: closes the one that
  /// has waited longest for its caller, or if each is serving a request, the
  /// next one that has served it.
  void makeRoom();

  /// Must be called when the calling thread has read a request whole. Returns
  /// false if its connection has been chosen to make room.
  bool beginServing();

  /// Must be called before the calling thread writes an answer of this size.
  /// If all answers together exceed the limit, closes the connections whose
  /// callers have taken nothing for longest.
  void beginAnswer(std::size_t Bytes, TimePoint Now);

  /// Ends the connection that the calling thread serves after its answer, since
  /// the rest of its body would be read as further requests.
  void closeAfterAnswer();

private:
  enum class Use {
    Idle,      ///< Waits for a request.
    Reading,   ///< A request has begun to arrive.
    Serving,   ///< A request has arrived whole.
    Answering, ///< A large answer is being written.
    Closing,   ///< Chosen to make room for a connection.
    GivenUp,   ///< Chosen to make room for an answer.
  };
  struct Connection {
    Use Use_ = Use::Idle;
    std::uint64_t Since_ = 0;   ///< Orders the changes of use.
    std::size_t Unwritten_ = 0; ///< Bytes of the answer while Answering.
    ConnectionStream const *Stream_ = nullptr; ///< While Answering.
  };

  bool process_and_close_socket(socket_t Socket) override;
  /// Returns the answering connection whose caller has taken nothing for
  /// longest, or Open_.end().
  std::map<socket_t, Connection>::iterator stalest();
  /// Closes as many connections that wait for their callers as are owed.
  void closeOwed();
  /// Whether close() was called, so that each connection serves at most one
  /// request more.
  bool isClosed();
  /// False when the connection must end.
  bool setUse(socket_t Socket, Use Now);
  void release(socket_t Socket);
  RequestBody bodyAfter(httplib::Request const &Head) const;

  BodyMemory &Memory_;
  HeadBounds HeadBounds_;
  std::size_t MaxUnwritten_ = 0;

  std::mutex Mutex_; ///< Guards all members below.
  std::map<socket_t, Connection> Open_;
  std::uint64_t Changes_ = 0;
  std::size_t Unwritten_ = 0; ///< Bytes of all answers being written.
  /// Connections that still have to end for those that wait for a thread.
  std::size_t Owed_ = 0;
  bool IsClosed_ = false;
};

} // namespace laburnum
