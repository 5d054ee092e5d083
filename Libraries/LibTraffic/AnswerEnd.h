#pragma once

namespace laburnum::exchange {

/// How the end of an answer was found.
enum class AnswerEnd {
  Marked, ///< By a length or a last chunk.
  /// By the end of its connection, which its server's process has outlived.
  Unmarked,
};

} // namespace laburnum::exchange
