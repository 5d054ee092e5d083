#pragma once

#include <LibCore/Result.h>
#include <LibModel/Service.h>

#include <cstdint>
#include <string>

namespace laburnum {

/// Which of the OpenAI-compatible endpoints received a completion request.
enum class CompletionStyle { Text, Chat };

enum class Streaming { No, Yes };

/// The validated body of a completion request.
struct CompletionBody {
  ServiceName Model_;
  std::string Prompt_; ///< A chat's messages, one "role: content" a line.
  std::uint32_t MaxTokens_ = 0;
  Streaming Streaming_ = Streaming::No;

  auto operator<=>(CompletionBody const &) const = default;
};

/// Parses the JSON of either endpoint. Unused keys such as temperature are
/// ignored, as OpenAI-compatible servers do.
Result<CompletionBody> parseCompletionBody(CompletionStyle Style,
                                           std::string const &Json);

} // namespace laburnum
