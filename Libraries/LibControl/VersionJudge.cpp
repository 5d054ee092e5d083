#include <LibControl/VersionJudge.h>

#include <algorithm>
#include <cmath>

namespace laburnum {

namespace {

constexpr std::uint64_t MinAnswersForThreshold = 50;
constexpr double ThresholdMargin = 0.05;

/// Added to the others' counts, so that a few good answers don't pass for
/// perfection: one bad answer in two hundred.
constexpr double PriorBad = 1.0;
constexpr double PriorAnswers = 200.0;
/// Fewer bad answers prove nothing, whatever their share.
constexpr std::uint64_t MinBad = 3;
/// Boundary of the log likelihood ratio. In the play of TestVersionJudge it
/// rolls back fewer than one good version in a hundred.
constexpr double Boundary = 7.0;

double share(AnswerCounts const &Counts) {
  return Counts.Answers_ == 0 ? 0.0
                              : static_cast<double>(Counts.Bad_) /
                                    static_cast<double>(Counts.Answers_);
}

} // namespace

bool ThresholdJudge::isWorse(AnswerCounts const &Target,
                             AnswerCounts const &Others) const {
  return Target.Answers_ >= MinAnswersForThreshold &&
         share(Target) > share(Others) + ThresholdMargin;
}

bool SequentialJudge::isWorse(AnswerCounts const &Target,
                              AnswerCounts const &Others) const {
  if (Target.Bad_ < MinBad)
    return false;
  auto const Expected = static_cast<double>(Target.Answers_) *
                        (static_cast<double>(Others.Bad_) + PriorBad) /
                        (static_cast<double>(Others.Answers_) + PriorAnswers);
  auto const Bad = static_cast<double>(Target.Bad_);
  if (Bad <= Expected)
    return false;
  return Expected - Bad + Bad * std::log(Bad / Expected) >= Boundary;
}

} // namespace laburnum
