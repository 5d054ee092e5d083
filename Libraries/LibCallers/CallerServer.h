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

/// A stream that has its first item already, so that a request refused before
/// any token gets a status code of its own.
struct StreamAnswer {
  ReadRequest Read_;
  StreamItem First_;
  std::shared_ptr<StreamSource> Rest_;
};

using CallerAnswer = std::variant<HttpAnswer, StreamAnswer>;

struct CallerServerSettings {
  Endpoint Listen_;
  std::size_t MostThreads_ = 256; ///< One for each open connection.
  std::size_t MostBodyBytes_ = std::size_t(1) << 20;
  Duration BodyTimeout_ = std::chrono::seconds(10);
  Duration ReadTimeout_ = std::chrono::seconds(5);
  HeadBounds Head_;
  /// How long a connection may be idle.
  std::chrono::seconds KeepAlive_ = std::chrono::seconds(5);

  auto operator<=>(CallerServerSettings const &) const = default;
};

/// Answers one message; called on many threads at once.
using CallerHandler = std::function<CallerAnswer(CallerMessage const &)>;

/// Refuses a message that could not be read; Error_ says why.
using RefusalWriter = std::function<HttpAnswer(Error const &)>;

/// The callers' HTTP server. Bounds the memory and time that one connection
/// can take, whatever it sends.
class CallerServer {
public:
  /// Binds the address; port 0 takes any free one.
  static Result<std::unique_ptr<CallerServer>>
  create(CallerServerSettings const &Settings, CallerHandler Handler,
         RefusalWriter Refuse);
  ~CallerServer();

  /// The address listened on, with the port that the system chose.
  Endpoint endpoint() const;
  /// Serves until stop(); blocks.
  void run();
  /// Takes no new connection; idle ones are ended at once, the others end
  /// their present request first.
  void stop();

private:
  class Implementation;
  explicit CallerServer(std::unique_ptr<Implementation> Made);

  std::unique_ptr<Implementation> Implementation_;
};

} // namespace laburnum
