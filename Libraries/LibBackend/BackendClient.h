#pragma once

#include <LibCore/Time.h>
#include <LibModel/AttemptEvidence.h>
#include <LibModel/BackendServer.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnum {

/// Numbers the attempts at one request, from 1. Pieces of an attempt older than
/// the current one are dropped.
using AttemptNumber = std::uint32_t;

struct HttpField {
  std::string Name_;
  std::string Value_;

  auto operator<=>(HttpField const &) const = default;
};

/// A call to a plain service.
struct PlainCall {
  RequestId Request_;
  AttemptNumber Attempt_ = 1;
  std::string Method_;
  std::string Path_; ///< With the query, as sent to the service.
  std::vector<HttpField> Fields_;
  std::string Body_;
  std::optional<IdempotencyKey> Key_;
  Duration Timeout_{};

  auto operator<=>(PlainCall const &) const = default;
};

struct PlainAnswer {
  std::int32_t Status_ = 0;
  std::string ContentType_;
  std::string Body_;

  auto operator<=>(PlainAnswer const &) const = default;
};

/// A call for a completion from token ResumeFrom_ on; Produced_ holds the
/// tokens before it, from earlier attempts.
struct CompletionCall {
  RequestId Request_;
  AttemptNumber Attempt_ = 1;
  ServiceName Model_;
  std::string Prompt_;
  std::uint32_t MaxTokens_ = 16;
  std::int32_t Priority_ = 0;
  std::uint32_t ResumeFrom_ = 0;
  std::vector<std::string> Produced_;
  Duration Timeout_{};

  auto operator<=>(CompletionCall const &) const = default;
};

/// One token of a completion.
struct TokenPiece {
  AttemptNumber Attempt_ = 1;
  std::uint32_t Offset_ = 0; ///< 0 is the completion's first token.
  std::string Text_;

  auto operator<=>(TokenPiece const &) const = default;
};

/// The load that an engine or service reports with its answers.
struct LoadReport {
  std::uint32_t Running_ = 0;
  std::uint32_t Queued_ = 0;

  auto operator<=>(LoadReport const &) const = default;
};

struct PlainResult {
  AttemptEvidence Evidence_;
  PlainAnswer Answer_; ///< Complete only if the evidence says so.
  std::optional<LoadReport> Load_;
  /// The memory that the answer takes, as long as anything holds this.
  std::shared_ptr<void const> Memory_;

  auto operator<=>(PlainResult const &) const = default;
};

struct CompletionResult {
  AttemptEvidence Evidence_;
  /// Tokens of the prompt and Produced_ that the engine had to compute, as
  /// reported in its last message; prefix cache hits are not counted.
  std::uint32_t ComputedTokens_ = 0;
  std::optional<LoadReport> Load_;

  auto operator<=>(CompletionResult const &) const = default;
};

enum class Continue { No, Yes };

/// Receives the pieces of a completion as they arrive; No cancels the attempt.
using PieceSink = std::function<Continue(TokenPiece const &)>;

/// Calls backend servers over HTTP. Each call blocks until the attempt ends.
/// Thread-safe.
class BackendClient {
public:
  virtual ~BackendClient() = default;

  virtual PlainResult call(BackendServer const &Server,
                           PlainCall const &Call) = 0;

  /// If the sink cancels the attempt or the connection breaks, the attempt is
  /// also cancelled at the engine.
  virtual CompletionResult complete(BackendServer const &Server,
                                    CompletionCall const &Call,
                                    PieceSink const &Sink) = 0;
};

} // namespace laburnum
