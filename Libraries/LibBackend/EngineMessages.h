#pragma once

#include <LibBackend/BackendClient.h>
#include <LibCore/Result.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace laburnum {

/// The last message of an engine's stream.
struct CompletionDone {
  std::uint32_t ComputedTokens_ = 0;
  LoadReport Load_;

  auto operator<=>(CompletionDone const &) const = default;
};

using CompletionMessage = std::variant<TokenPiece, CompletionDone>;

/// The body of a POST to an engine's /v1/completions.
std::string completionBody(CompletionCall const &Call);

/// The body of a POST to an engine's /v1/cancel.
std::string cancelBody(RequestId const &Request, AttemptNumber Attempt);

/// Parses one message of an engine's stream; Attempt is the attempt that it
/// belongs to. InvalidArgument when it does not conform to the protocol.
Result<CompletionMessage> parseCompletionMessage(std::string const &Text,
                                                 AttemptNumber Attempt);

/// Parses the value of a Laburnum-Load header; nullopt when it does not conform
/// to the protocol.
std::optional<LoadReport> parseLoad(std::string const &Value);

} // namespace laburnum
