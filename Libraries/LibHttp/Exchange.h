#pragma once

#include <LibCore/Time.h>
#include <LibHttp/MessageHead.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace laburnum {

/// Is told what becomes of a client while its request is being answered.
class ClientObserver {
public:
  virtual ~ClientObserver() = default;
  /// The client has closed its connection or lost it; no answer can be given.
  virtual void onClientLeft() = 0;
};

/// A whole request.
struct ReceivedRequest {
  RequestHead Head_;
  std::string Body_;
  TimePoint BegunAt_; ///< When its first byte was read.

  auto operator<=>(ReceivedRequest const &) const = default;
};

/// One request's way back to its client. Exactly one answer is given: a whole
/// one, or a stream that is finished or aborted.
class Exchange {
public:
  virtual ~Exchange() = default;

  /// Who learns that the client left. Kept until the answer has ended.
  virtual void observe(std::shared_ptr<ClientObserver> Observer) = 0;

  virtual void answer(AnswerHead const &Head, std::string_view Body) = 0;
  virtual void beginStream(AnswerHead const &Head) = 0;
  virtual void send(std::string_view Bytes) = 0;
  virtual void finishStream() = 0;
  /// Breaks the connection off: the client sees that the answer is not whole.
  virtual void abort() = 0;

  /// Bytes that the client has not taken yet.
  virtual std::size_t unwrittenBytes() const = 0;
};

} // namespace laburnum
