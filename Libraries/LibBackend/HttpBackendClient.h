#pragma once

#include <LibBackend/BackendClient.h>
#include <LibBackend/DeadlineWatch.h>
#include <LibBackend/HttpClientPool.h>
#include <LibCore/BodyMemory.h>

#include <cstddef>

namespace laburnum {

struct BackendClientSettings {
  /// Maximum time between two pieces of an answer.
  Duration StallTimeout_ = std::chrono::seconds(10);
  /// Maximum time to deliver a cancellation to an engine.
  Duration CancelTimeout_ = std::chrono::milliseconds(500);
  std::size_t MaxIdlePerEndpoint_ = 16; ///< Idle connections per endpoint.
  std::size_t MaxIdle_ = 256;           ///< Idle connections in total.
  std::size_t MaxAnswerBytes_ = std::size_t{16} << 20; ///< Of a plain answer.
  /// Of all plain answers while they arrive; never less than twice
  /// MaxAnswerBytes_.
  std::size_t AnswerMemoryBytes_ = std::size_t{32} << 20;

  auto operator<=>(BackendClientSettings const &) const = default;
};

/// Calls backend servers with cpp-httplib. The evidence is conservative: it
/// says that the server was not reached only if no connection was made, and
/// that an answer is complete only if its framing (a plain service) or its last
/// message (an engine) shows it.
class HttpBackendClient final : public BackendClient {
public:
  explicit HttpBackendClient(BackendClientSettings Settings = {});

  PlainResult call(BackendServer const &Server, PlainCall const &Call) override;

  CompletionResult complete(BackendServer const &Server,
                            CompletionCall const &Call,
                            PieceSink const &Sink) override;

private:
  /// The result that httplib reports for one exchange, and whether the deadline
  /// watch interrupted it.
  struct Outcome {
    httplib::Error Error_ = httplib::Error::Unknown;
    bool IsTimedOut_ = false;
    ConnectionTrace Trace_;

    bool hasAnswer() const { return Trace_.HasStatusLine_; }
  };
  /// Receives a piece of the answer's body; false ends the exchange.
  using BodySink = std::function<bool(char const *, std::size_t)>;

  Outcome exchange(Endpoint const &Target, httplib::Request &Request,
                   httplib::Response &Response, Duration Timeout,
                   BodySink const &Sink);
  static AttemptEvidence evidenceOf(Outcome const &Exchanged,
                                    httplib::Response const &Response);
  static void classifyAnswer(AttemptEvidence &Evidence,
                             httplib::Request const &Request,
                             httplib::Response const &Response,
                             Outcome const &Exchanged);
  void cancel(Endpoint const &Target, CompletionCall const &Call);

  BackendClientSettings const Settings_;
  BodyMemory AnswerMemory_;
  HttpClientPool Pool_;
  DeadlineWatch Watch_;
};

} // namespace laburnum
