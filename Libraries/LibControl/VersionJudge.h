#pragma once

#include <compare>
#include <cstdint>

namespace laburnum {

/// Answers of a version, and how many of them were bad.
struct AnswerCounts {
  std::uint64_t Answers_ = 0;
  std::uint64_t Bad_ = 0;

  auto operator<=>(AnswerCounts const &) const = default;
};

/// Decides whether a version's answers are worse than those of the versions
/// that it is to replace.
class VersionJudge {
public:
  virtual ~VersionJudge() = default;
  /// Called again and again while answers come in.
  virtual bool isWorse(AnswerCounts const &Target,
                       AnswerCounts const &Others) const = 0;
};

/// Takes a version for worse whose share of bad answers exceeds that of the
/// others by a fixed margin, from a number of answers on.
class ThresholdJudge : public VersionJudge {
public:
  bool isWorse(AnswerCounts const &Target,
               AnswerCounts const &Others) const override;
};

/// A sequential test of the log likelihood ratio of bad answers, with a
/// constant (Pocock) boundary: S. Zhao, A. Cook, L. Jackson, J. Nelson,
/// Statistical performance of group sequential methods for observational
/// post-licensure medical product safety surveillance. The others' answers at
/// the same time are the control.
class SequentialJudge : public VersionJudge {
public:
  bool isWorse(AnswerCounts const &Target,
               AnswerCounts const &Others) const override;
};

} // namespace laburnum
