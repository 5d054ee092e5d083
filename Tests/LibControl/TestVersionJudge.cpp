#include <LibControl/VersionJudge.h>

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace laburnum;

namespace {

/// A roll-out: shares of bad answers before and after a number of answers.
struct Rollout {
  double Others_ = 0.02;
  double Before_ = 0.02;
  double After_ = 0.02;
  int ChangesAt_ = 0; ///< After this many answers of the target.
};

constexpr int Seeds = 300;
/// Answers of the target in each seed; the others have 24 times as many.
constexpr int TargetAnswers = 400;
constexpr int OthersPerAnswer = 24;
/// Answers between two looks.
constexpr int Group = 8;

struct Figures {
  int RolledBack_ = 0;
  double BadAnswers_ = 0.0; ///< Mean until the end or the roll-back.
};

Figures play(VersionJudge const &Judge, Rollout const &Played) {
  Figures Sum;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    std::mt19937_64 Generator(Seed);
    std::bernoulli_distribution OtherIsBad(Played.Others_);
    AnswerCounts Target;
    AnswerCounts Others;
    for (int Number = 0; Number < TargetAnswers; ++Number) {
      std::bernoulli_distribution IsBad(
          Number < Played.ChangesAt_ ? Played.Before_ : Played.After_);
      ++Target.Answers_;
      Target.Bad_ += IsBad(Generator);
      for (int Other = 0; Other < OthersPerAnswer; ++Other) {
        ++Others.Answers_;
        Others.Bad_ += OtherIsBad(Generator);
      }
      if (Number % Group == Group - 1 && Judge.isWorse(Target, Others)) {
        ++Sum.RolledBack_;
        break;
      }
    }
    Sum.BadAnswers_ += static_cast<double>(Target.Bad_) / Seeds;
  }
  return Sum;
}

} // namespace

TEST_CASE("A good version is hardly ever rolled back") {
  SequentialJudge const Sequential;
  ThresholdJudge const Threshold;
  auto const Share = GENERATE(0.0, 0.002, 0.02, 0.1);
  Rollout const Good{Share, Share, Share, 0};
  CAPTURE(Share, play(Threshold, Good).RolledBack_);
  CHECK(play(Sequential, Good).RolledBack_ <= Seeds / 100);
}

TEST_CASE("A bad version is rolled back after fewer bad answers than by a "
          "threshold") {
  SequentialJudge const Sequential;
  ThresholdJudge const Threshold;
  auto const Played = GENERATE(
      Rollout{0.02, 0.3, 0.3, 0},    // errors
      Rollout{0.1, 0.4, 0.4, 0},     // slowness, where slow answers are usual
      Rollout{0.02, 0.02, 0.5, 200}, // later
      Rollout{0.002, 0.15, 0.15, 0});
  auto const One = play(Sequential, Played);
  auto const Other = play(Threshold, Played);
  CAPTURE(Played.Others_, Played.After_, Other.RolledBack_);
  CHECK(One.RolledBack_ >= Seeds * 99 / 100);
  CHECK(One.BadAnswers_ <= Other.BadAnswers_);
  // The platform asks for a roll-back after fifty.
  CHECK(One.BadAnswers_ < 50.0);
}

TEST_CASE("Two bad answers prove nothing, and a version without answers is not "
          "worse") {
  SequentialJudge const Judge;
  CHECK_FALSE(Judge.isWorse({2, 2}, {10000, 0}));
  CHECK_FALSE(Judge.isWorse({0, 0}, {0, 0}));
  CHECK(Judge.isWorse({20, 20}, {0, 0}));
}
