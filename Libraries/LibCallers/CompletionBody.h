#pragma once

#include <LibCore/Result.h>
#include <LibModel/Service.h>

#include <cstdint>
#include <string>

namespace laburnum {

/// Which of the OpenAI-style endpoints a completion came through.
enum class CompletionStyle { Text, Chat };

enum class Streaming { No, Yes };

/// The body of a completion request, checked.
struct CompletionBody {
  ServiceName Model_;
  std::string Prompt_; ///< A chat's messages, one "role: content" a line.
  std::uint32_t MaxTokens_ = 0;
  Streaming Streaming_ = Streaming::No;

  auto operator<=>(CompletionBody const &) const = default;
};

/// Parses the JSON of either endpoint. Keys that this system does not use
/// (temperature, say) are ignored, as OpenAI-style servers do.
Result<CompletionBody> parseCompletionBody(CompletionStyle Style,
                                           std::string const &Json);

} // namespace laburnum
