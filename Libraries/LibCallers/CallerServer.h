#pragma once

#include <LibCallers/AnswerWriter.h>
#include <LibCallers/CallerMessage.h>
#include <LibCallers/HeadBounds.h>
#include <LibCallers/StreamSource.h>
#include <LibCore/Result.h>
#include <LibModel/BackendServer.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <variant>

namespace laburnum {

/// A stream whose first item is already known, so that a request that fails
/// before its first token is answered with the status code of the failure.
struct StreamAnswer {
  ParsedRequest Read_;
  StreamItem First_;
  std::shared_ptr<StreamSource> Rest_;
};

using CallerAnswer = std::variant<HttpAnswer, StreamAnswer>;

struct CallerServerSettings {
  Endpoint Listen_;
  std::size_t MaxThreads_ = 256; ///< One per open connection.
  std::size_t MaxBodyBytes_ = std::size_t(1) << 20;
  /// Of all bodies together; never less than twice MaxBodyBytes_.
  std::size_t BodyMemoryBytes_ = std::size_t(32) << 20;
  /// Of all answers that are being written, beside the first 64 KiB of each; a
  /// single one may be larger.
  std::size_t AnswerMemoryBytes_ = std::size_t(32) << 20;
  Duration BodyTimeout_ = std::chrono::seconds(10);
  Duration ReadTimeout_ = std::chrono::seconds(5);
  HeadBounds Head_;
  /// Idle timeout of a connection.
  std::chrono::seconds KeepAlive_ = std::chrono::seconds(5);

  auto operator<=>(CallerServerSettings const &) const = default;
};

/// Answers one message; called on several threads at once.
using CallerHandler = std::function<CallerAnswer(CallerMessage const &)>;

/// Makes the answer to a message that could not be read, from the error.
using RefusalWriter = std::function<HttpAnswer(Error const &)>;

/// The HTTP server for callers. Limits the memory and time that one connection
/// can use.
class CallerServer {
public:
  /// Binds the address; port 0 takes any free one.
  static Result<std::unique_ptr<CallerServer>>
  create(CallerServerSettings const &Settings, CallerHandler Handler,
         RefusalWriter Refuse);
  ~CallerServer();

  /// The listening address, with the port that was chosen for port 0.
  Endpoint endpoint() const;
  /// Blocks and serves requests until stop().
  void run();
  /// Accepts no new connections; closes idle ones at once and the others after
  /// their current request.
  void stop();

private:
  class Implementation;
  explicit CallerServer(std::unique_ptr<Implementation> Created);

  std::unique_ptr<Implementation> Implementation_;
};

} // namespace laburnum
