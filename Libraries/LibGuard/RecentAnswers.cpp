#include <LibGuard/RecentAnswers.h>

namespace laburnum {

namespace {

/// How long an answer is remembered and keeps its content from becoming
/// suspect. Content that is answered less often is unlikely to run on three
/// servers that crash together.
constexpr Duration AnswerValidity = std::chrono::seconds(10);
/// Answers to the same content within this time are remembered once.
constexpr Duration AnswerResolution = std::chrono::seconds(1);
/// Maximum number of remembered answers; about 400 KB.
constexpr std::size_t MaxAnswers = 4096;

} // namespace

void RecentAnswers::add(std::uint64_t Fingerprint, TimePoint Now) {
  auto &Last = Last_.try_emplace(Fingerprint, TimePoint::min()).first->second;
  if (Last != TimePoint::min() && Now - Last < AnswerResolution)
    return;
  Last = Now;
  InOrder_.emplace_back(Now, Fingerprint);
  while (InOrder_.size() > MaxAnswers ||
         Now - InOrder_.front().first >= AnswerValidity) {
    auto const [At, Oldest] = InOrder_.front();
    InOrder_.pop_front();
    auto const Found = Last_.find(Oldest);
    if (Found != Last_.end() && Found->second == At)
      Last_.erase(Found);
  }
}

bool RecentAnswers::contains(std::uint64_t Fingerprint, TimePoint Now) const {
  auto const Found = Last_.find(Fingerprint);
  return Found != Last_.end() && Now - Found->second < AnswerValidity;
}

} // namespace laburnum
