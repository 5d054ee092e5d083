#include <LibTraffic/WorkPlacement.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <queue>
#include <vector>

using namespace laburnum;

using std::chrono::milliseconds;

namespace {

constexpr EngineEstimate Engine{50000.0, 600000};
constexpr RequestWork LongPrompt{12000, 5400, 400};
constexpr RequestWork ShortPrompt{2400, 600, 20};

PlacementCandidate candidate(std::uint64_t Unread, std::uint64_t Memory = 0) {
  return {{Unread, Memory, 0.0}, 1.0, {}};
}

/// Servers that read prompts one after the other, and instances that place
/// requests by reports of them that are up to a second old.
class DelayedReports {
public:
  explicit DelayedReports(std::size_t Servers)
      : Busy_(Servers, 0.0), Reported_(Servers) {}

  /// Places a request and returns how long it waits, in seconds.
  template <typename Choose> double place(double Now, Choose Choice) {
    if (Now >= NextReport_) {
      for (std::size_t Server = 0; Server < Busy_.size(); ++Server)
        Reported_[Server] = candidate(static_cast<std::uint64_t>(
            std::max(0.0, Busy_[Server] - Now) * Engine.TokensPerSecond_));
      NextReport_ = Now + 1.0;
    }
    auto const Server = Choice(Reported_);
    auto const Wait = std::max(0.0, Busy_[Server] - Now);
    Busy_[Server] = std::max(Busy_[Server], Now) +
                    static_cast<double>(ShortPrompt.PromptTokens_) /
                        Engine.TokensPerSecond_;
    return Wait;
  }

private:
  std::vector<double> Busy_; ///< Until when each server reads.
  std::vector<PlacementCandidate> Reported_;
  double NextReport_ = 0.0;
};

} // namespace

TEST_CASE("A request goes to the server that keeps its shared parts, unless "
          "that has to read more before it than is saved") {
  std::mt19937_64 Generator(1);
  std::vector<PlacementCandidate> Servers(10, candidate(0));
  Servers[0] = candidate(5000);
  CHECK(placeByWork(Servers, LongPrompt, Engine, Generator).Candidate_ == 0);
  Servers[0] = candidate(60000);
  CHECK(placeByWork(Servers, LongPrompt, Engine, Generator).Candidate_ != 0);
}

TEST_CASE("The predicted time is that of reading what is there before and the "
          "request's own part") {
  std::mt19937_64 Generator(1);
  std::vector<PlacementCandidate> const Servers = {candidate(3400)};
  auto const Placed = placeByWork(Servers, LongPrompt, Engine, Generator);
  CHECK(Placed.FirstEvent_ == milliseconds(200));
}

TEST_CASE("A server without room in its memory is passed over") {
  std::mt19937_64 Generator(1);
  std::vector<PlacementCandidate> Servers(10, candidate(20000));
  Servers[0] = candidate(0, 535000);
  CHECK(placeByWork(Servers, LongPrompt, Engine, Generator).Candidate_ != 0);
  std::vector<PlacementCandidate> const Full(3, candidate(0, 600000));
  CHECK(placeByWork(Full, LongPrompt, Engine, Generator).Candidate_ < 3);
}

TEST_CASE("A server that is slow at the moment is passed over") {
  std::mt19937_64 Generator(1);
  std::vector<PlacementCandidate> Servers(10, candidate(0));
  Servers[0].Slowdown_ = 10.0;
  CHECK(placeByWork(Servers, LongPrompt, Engine, Generator).Candidate_ != 0);
}

TEST_CASE("Requests for the same shared parts spread before their server is "
          "overloaded") {
  constexpr int Requests = 1000;
  std::mt19937_64 Generator(1);
  std::vector<PlacementCandidate> Servers(10, candidate(0));
  Servers[0].Load_.PreferredPerSecond_ = 4.0 * Engine.TokensPerSecond_;
  int AtPreferred = 0;
  for (int Number = 0; Number < Requests; ++Number)
    AtPreferred +=
        placeByWork(Servers, ShortPrompt, Engine, Generator).Candidate_ == 0;
  // 0.7 of what it reads, of four times that.
  CHECK(AtPreferred > 100);
  CHECK(AtPreferred < 250);
}

TEST_CASE("Instances with the same old reports do not all choose the server "
          "that seemed best") {
  constexpr std::size_t Servers = 30;
  constexpr int Requests = 20000;
  // Servers read for seven tenths of the time.
  auto const Gap = static_cast<double>(ShortPrompt.PromptTokens_) /
                   Engine.TokensPerSecond_ / (0.7 * Servers);
  auto const MeanWait = [&](auto Choose) {
    DelayedReports Fleet(Servers);
    double Sum = 0.0;
    for (int Number = 0; Number < Requests; ++Number)
      Sum += Fleet.place(Number * Gap, Choose);
    return Sum / Requests;
  };
  std::mt19937_64 Generator(1);
  RequestWork Unshared = ShortPrompt;
  Unshared.SharedTokens_ = 0;
  auto const Placed = MeanWait([&](auto const &Reported) {
    return placeByWork(Reported, Unshared, Engine, Generator).Candidate_;
  });
  auto const Least = MeanWait([](auto const &Reported) {
    return static_cast<std::size_t>(
        std::min_element(Reported.begin(), Reported.end(),
                         [](auto const &Left, auto const &Right) {
                           return Left.Load_.UnreadTokens_ <
                                  Right.Load_.UnreadTokens_;
                         }) -
        Reported.begin());
  });
  CHECK(Placed < Least / 4.0);
}
