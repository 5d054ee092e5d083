#include "AnswerLimits.h"

#include <LibHttp/MessageReader.h>

#include <algorithm>

namespace laburnum {

namespace {

/// Fraction of the machine's memory for each of the limits. An answer that is
/// read takes up to twice its bytes, and once more where it is passed on.
constexpr std::uint64_t MemoryDivisor = 8;
/// Answers of the largest size for which there is always room.
constexpr std::uint64_t MinLargestAnswers = 2;

} // namespace

AnswerLimits answerLimits(EntrySettings const &Settings) {
  if (Settings.MemoryBytes_ == 0)
    return {};
  std::size_t const Bytes =
      std::max(Settings.MemoryBytes_ / MemoryDivisor,
               MinLargestAnswers * MessageBounds().BodyBytes_);
  return {Bytes, Bytes};
}

} // namespace laburnum
