#pragma once

#include <LibCore/Time.h>
#include <LibHttp/MessageHead.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace laburnum {

/// Is notified when a client disconnects while its request is being answered.
class ClientObserver {
public:
  virtual ~ClientObserver() = default;
  /// The client closed its connection or lost it; no answer can be sent.
  virtual void onClientLeft() = 0;
};

/// A complete request: head and body.
struct ReceivedRequest {
  RequestHead Head_;
  std::string Body_;
  TimePoint BegunAt_; ///< When its first byte was read.

  auto operator<=>(ReceivedRequest const &) const = default;
};

/// Sends the answer to one request. Exactly one answer is sent: a complete one,
/// or a stream that is finished or aborted.
class Exchange {
public:
  virtual ~Exchange() = default;

  /// Sets the observer that is notified when the client disconnects. Held until
  /// the answer has ended.
  virtual void observe(std::shared_ptr<ClientObserver> Observer) = 0;

  virtual void answer(AnswerHead const &Head, std::string_view Body) = 0;
  virtual void beginStream(AnswerHead const &Head) = 0;
  virtual void send(std::string_view Bytes) = 0;
  virtual void finishStream() = 0;
  /// Resets the connection, so that the client sees that the answer is
  /// incomplete.
  virtual void abort() = 0;

  /// Keeps the rest of the answer from the client until resumeWrites(), which
  /// may be called after the answer has ended, or until it is large.
  virtual void holdWrites() = 0;
  virtual void resumeWrites() = 0;

  /// Bytes of the answer that the kernel has not taken yet.
  virtual std::size_t unwrittenBytes() const = 0;
};

} // namespace laburnum
