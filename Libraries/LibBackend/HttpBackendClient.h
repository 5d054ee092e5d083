#pragma once

#include <LibBackend/BackendClient.h>
#include <LibBackend/DeadlineWatch.h>
#include <LibBackend/HttpClientPool.h>

#include <cstddef>

namespace laburnum {

struct BackendClientSettings {
  /// The longest silence between two pieces of an answer that has begun.
  Duration StallTimeout_ = std::chrono::seconds(10);
  /// The longest wait for an engine to take a cancellation.
  Duration CancelTimeout_ = std::chrono::milliseconds(500);
  std::size_t MaxIdlePerEndpoint_ = 16; ///< Connections kept for reuse.
  std::size_t MaxIdle_ = 256;           ///< The same, of all endpoints.
  std::size_t MaxAnswerBytes_ = std::size_t{16} << 20; ///< Of a plain answer.

  auto operator<=>(BackendClientSettings const &) const = default;
};

/// Calls backend servers with cpp-httplib. The evidence never claims less
/// than may have happened: the server is said not to be reached only when no
/// connection was made, and an answer is whole only when its own framing (a
/// plain service) or its last message (an engine) says so.
class HttpBackendClient final : public BackendClient {
public:
  explicit HttpBackendClient(BackendClientSettings Settings = {});

  PlainResult call(BackendServer const &Server, PlainCall const &Call) override;

  CompletionResult complete(BackendServer const &Server,
                            CompletionCall const &Call,
                            PieceSink const &Sink) override;

private:
  /// What httplib said of one exchange, and whether the watch interrupted it.
  struct Outcome {
    httplib::Error Error_ = httplib::Error::Unknown;
    bool IsTimedOut_ = false;
    ConnectionTrace Trace_;

    bool hasAnswer() const { return Trace_.HasStatusLine_; }
  };
  /// Takes a piece of the answer's body; false ends the exchange.
  using BodySink = std::function<bool(char const *, std::size_t)>;

  Outcome exchange(Endpoint const &Target, httplib::Request &Request,
                   httplib::Response &Response, Duration Timeout,
                   BodySink const &Sink);
  static AttemptEvidence evidenceOf(Outcome const &Seen,
                                    httplib::Response const &Response);
  static void judgeAnswer(AttemptEvidence &Evidence,
                          httplib::Request const &Request,
                          httplib::Response const &Response,
                          Outcome const &Seen);
  void cancel(Endpoint const &Target, CompletionCall const &Call);

  BackendClientSettings const Settings_;
  HttpClientPool Pool_;
  DeadlineWatch Watch_;
};

} // namespace laburnum
