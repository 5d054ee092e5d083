#include <LibTraffic/ServiceWorkMeter.h>

#include <catch2/catch.hpp>

#include <random>

using namespace laburnum;

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

ServiceName const Service("engine");
TimePoint const Start{std::chrono::seconds(1000)};

RequestWork prompt(std::uint64_t Tokens) { return {Tokens, 0, 10}; }

} // namespace

TEST_CASE("The speed of reading is found though requests wait") {
  constexpr double TokensPerSecond = 40000.0;
  auto const MeanWait = GENERATE(0.0, 0.1, 1.0);
  std::mt19937_64 Generator(3);
  std::lognormal_distribution<double> Size(8.0, 1.0);
  std::exponential_distribution<double> Wait(1.0 / std::max(MeanWait, 1e-9));
  ServiceWorkMeter Meter;
  constexpr int Answers = 5000;
  for (int Number = 0; Number < Answers; ++Number) {
    auto const Tokens = static_cast<std::uint64_t>(Size(Generator));
    std::chrono::duration<double> const Took(
        0.02 + Wait(Generator) + static_cast<double>(Tokens) / TokensPerSecond);
    Meter.onFirstEvent(Service, prompt(Tokens), duration_cast<Duration>(Took));
  }
  auto const Speed = readingSpeed(Meter.report(Start).front());
  REQUIRE(Speed);
  CHECK(*Speed == Approx(TokensPerSecond).epsilon(0.4));
}

TEST_CASE("A few answers tell no speed, nor do answers of one size") {
  ServiceWorkMeter Meter;
  for (int Number = 0; Number < 10; ++Number)
    Meter.onFirstEvent(Service, prompt(1000 + 100 * Number),
                       milliseconds(20 + 2 * Number));
  CHECK_FALSE(readingSpeed(Meter.report(Start).front()));
  for (int Number = 0; Number < 200; ++Number)
    Meter.onFirstEvent(ServiceName("other"), prompt(1000), milliseconds(20));
  for (auto const &Work : Meter.report(Start))
    CHECK_FALSE(readingSpeed(Work));
}

TEST_CASE("The rates of several instances add up") {
  std::vector<std::vector<ServiceWork>> Reports;
  for (int Instance = 0; Instance < 3; ++Instance) {
    ServiceWorkMeter Meter;
    auto Now = Start;
    Meter.report(Now);
    std::vector<ServiceWork> Last;
    for (int Period = 0; Period < 60; ++Period) {
      Meter.onRequest(Service, prompt(2000), ServiceWorkMeter::Urgency::Urgent);
      Meter.onRequest(Service, prompt(6000), ServiceWorkMeter::Urgency::Other);
      Now += milliseconds(500);
      Last = Meter.report(Now);
    }
    Reports.push_back(Last);
  }
  auto const Sum = sumOf(Reports).front();
  CHECK(Sum.UnsharedPerSecond_ == Approx(48000).epsilon(0.01));
  CHECK(Sum.UrgentPerSecond_ == Approx(12000).epsilon(0.01));
}

TEST_CASE("A busy server has the mean residual of its prompts left to read") {
  ServiceWorkMeter Meter;
  for (int Number = 0; Number < 100; ++Number)
    Meter.onFirstEvent(Service, prompt(Number % 2 == 0 ? 1000 : 9000),
                       milliseconds(50));
  // (1000^2 + 9000^2) / (2 * (1000 + 9000))
  CHECK(residualTokens(Meter.report(Start).front()) ==
        Approx(4100).epsilon(0.01));
}
