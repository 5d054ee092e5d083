#include <LibMetrics/MetricsRegistry.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <thread>

using namespace laburnum;

namespace {

template <typename Work> void onThreads(std::uint64_t Count, Work const &Each) {
  std::vector<std::thread> Threads;
  for (std::uint64_t Index = 0; Index < Count; ++Index)
    Threads.emplace_back(Each);
  for (auto &Thread : Threads)
    Thread.join();
}

} // namespace

TEST_CASE(
    "A name always returns the same metric, and snapshots are sorted by name") {
  MetricsRegistry Registry;
  Registry.distribution("serving.latency", "ms").record(3.0);
  Registry.counter("serving.refused", "requests").add(2);
  Registry.counter("serving.refused", "requests").add();
  Registry.counter("peer.sent", "bytes");

  auto const All = Registry.snapshot();
  REQUIRE(All.size() == 3);
  CHECK(All[0] == MetricSnapshot{"peer.sent", "bytes", 0});
  CHECK(All[1] == MetricSnapshot{"serving.latency", "ms", 1, 3, 3, 3, 3, 3});
  CHECK(All[2] == MetricSnapshot{"serving.refused", "requests", 3});
  CHECK(Registry.snapshot("peer.").size() == 1);
}

TEST_CASE("Nothing is lost when many threads count and record") {
  constexpr std::uint64_t Threads = 20;
  constexpr std::uint64_t PerThread = 1001;
  MetricsRegistry Registry;
  auto &Events = Registry.counter("events", "events");
  auto &Values = Registry.distribution("values", "ms");
  onThreads(Threads, [&] {
    for (std::uint64_t Index = 0; Index < PerThread; ++Index) {
      Events.add();
      Values.record(2.0);
    }
  });
  CHECK(Events.count() == Threads * PerThread);
  auto const Snapshot = Values.snapshot();
  CHECK(Snapshot.Count_ == Threads * PerThread);
  CHECK(Snapshot.Sum_ == 2.0 * static_cast<double>(Threads * PerThread));
}

TEST_CASE("Quantiles of few values are exact") {
  Distribution Values;
  for (double Value : {5.0, 1.0, 4.0, 2.0, 3.0})
    Values.record(Value);
  auto const Snapshot = Values.snapshot();
  CHECK(Snapshot.P50_ == 3.0);
  CHECK(Snapshot.P99_ == 5.0);
  CHECK(Snapshot.Maximum_ == 5.0);
}

TEST_CASE("Quantiles of many values are near the true ones") {
  constexpr int Count = 10000;
  std::vector<double> Shuffled;
  for (int Index = 1; Index <= Count; ++Index)
    Shuffled.push_back(Index);
  std::shuffle(Shuffled.begin(), Shuffled.end(), std::mt19937_64(17));
  Distribution Values;
  for (auto const Value : Shuffled)
    Values.record(Value);
  auto const Snapshot = Values.snapshot();
  CHECK(Snapshot.P50_ == Approx(5000).epsilon(0.02));
  CHECK(Snapshot.P95_ == Approx(9500).epsilon(0.02));
  CHECK(Snapshot.P99_ == Approx(9900).epsilon(0.02));
  CHECK(Snapshot.Maximum_ == Count);
}

TEST_CASE("A distribution without values is all zero") {
  CHECK(Distribution().snapshot() == MetricSnapshot{});
}

TEST_CASE("A callback counter is read for each snapshot") {
  MetricsRegistry Registry;
  std::uint64_t External = 1;
  Registry.addCallbackCounter("platform.gets", "calls",
                              [&] { return External; });
  CHECK(Registry.snapshot("platform.").front().Count_ == 1);
  External = 2;
  CHECK(Registry.snapshot("platform.").front().Count_ == 2);
  CHECK(Registry.snapshot("peer.").empty());
}
