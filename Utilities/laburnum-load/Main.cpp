#include "LoadReport.h"

#include <atomic>
#include <cxxopts.hpp>
#include <iostream>

using namespace laburnum;

/// Delay before the first planned call in which the threads start.
static constexpr Duration WarmUp = std::chrono::milliseconds(200);

static cxxopts::Options options() {
  cxxopts::Options Options("laburnum-load",
                           "Calls laburnumd in an open loop and reports "
                           "latencies from the planned starts.");
  auto Add = Options.add_options();
  auto const Text = [&](char const *Name, char const *Default,
                        char const *Help) {
    Add(Name, Help, cxxopts::value<std::string>()->default_value(Default));
  };
  auto const Count = [&](char const *Name, char const *Default,
                         char const *Help) {
    Add(Name, Help, cxxopts::value<std::uint32_t>()->default_value(Default));
  };
  auto const Real = [&](char const *Name, char const *Default,
                        char const *Help) {
    Add(Name, Help, cxxopts::value<double>()->default_value(Default));
  };
  Text("target", "", "http://HOST:PORT of an entry instance");
  Text("key", "", "key of the client account");
  Text("mode", "arrivals", "arrivals or streams");
  Real("rate", "10", "calls a second");
  Real("seconds", "10", "length of the run");
  Count("streams", "16", "streams of mode streams");
  Count("seed", "1", "seed of the arrival times");
  Count("threads", "256", "maximum number of concurrent calls");
  Text("service", "", "service of plain calls; empty for none");
  Text("path", "/", "path of plain calls");
  Text("model", "", "service of completions; empty for none");
  Real("long-share", "0.1", "share of long completions");
  Count("short-tokens", "16", "tokens of a short completion");
  Count("long-tokens", "256", "tokens of a long completion");
  Count("timeout-seconds", "60", "read timeout of a call");
  Text("output", "table", "table or json");
  Add("help", "print this");
  return Options;
}

static LoadSettings settings(cxxopts::ParseResult const &Parsed) {
  auto const Text = [&](char const *Name) {
    return Parsed[Name].as<std::string>();
  };
  auto const Count = [&](char const *Name) {
    return Parsed[Name].as<std::uint32_t>();
  };
  LoadSettings Settings;
  Settings.Target_ = Text("target");
  Settings.Key_ = Text("key");
  Settings.Mode_ =
      Text("mode") == "streams" ? LoadMode::Streams : LoadMode::Arrivals;
  Settings.RatePerSecond_ = Parsed["rate"].as<double>();
  Settings.Seconds_ = Parsed["seconds"].as<double>();
  Settings.Streams_ = Count("streams");
  Settings.Seed_ = Count("seed");
  Settings.Threads_ = Count("threads");
  Settings.Service_ = Text("service");
  Settings.Path_ = Text("path");
  Settings.Model_ = Text("model");
  Settings.LongShare_ = Parsed["long-share"].as<double>();
  Settings.ShortTokens_ = Count("short-tokens");
  Settings.LongTokens_ = Count("long-tokens");
  Settings.Timeout_ = std::chrono::seconds(Count("timeout-seconds"));
  return Settings;
}

/// Each thread takes the next planned call and waits for its start. A call for
/// which no thread is free starts late, and its latency includes the delay.
static LoadRun runCalls(LoadSettings const &Settings) {
  auto const Calls = planCalls(Settings);
  std::vector<CallOutcome> Outcomes(Calls.size());
  std::atomic<std::size_t> Next = 0;
  TimePoint const Begin = readClock() + WarmUp;
  auto const Worker = [&] {
    httplib::Client Client(Settings.Target_);
    Client.set_keep_alive(true);
    Client.set_tcp_nodelay(true);
    Client.set_read_timeout(Settings.Timeout_);
    for (auto Index = Next++; Index < Calls.size(); Index = Next++) {
      TimePoint const Planned = Begin + Calls[Index].Start_;
      std::this_thread::sleep_until(Planned);
      Outcomes[Index] = makeCall(Client, Settings, Calls[Index], Planned);
    }
  };
  std::size_t const ThreadCount = Settings.Mode_ == LoadMode::Streams
                                      ? Settings.Streams_
                                      : Settings.Threads_;
  std::vector<std::thread> Threads;
  for (std::size_t One = 0; One < std::min(ThreadCount, Calls.size()); ++One)
    Threads.emplace_back(Worker);
  for (auto &One : Threads)
    One.join();
  return {std::move(Outcomes), readClock() - Begin};
}

static int run(cxxopts::ParseResult const &Parsed) {
  auto const Settings = settings(Parsed);
  bool const HasCalls = !Settings.Service_.empty() || !Settings.Model_.empty();
  if (Settings.Target_.empty() || !HasCalls) {
    std::cerr << "laburnum-load: give --target and --service or --model\n";
    return 2;
  }
  auto const Run = runCalls(Settings);
  bool const IsJson = Parsed["output"].as<std::string>() == "json";
  std::cout << (IsJson ? jsonOf(Run) : tableOf(Run));
  return 0;
}

int main(int Count, char **Arguments) {
  auto Options = options();
  try {
    auto const Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help") == 0)
      return run(Parsed);
    std::cout << Options.help();
    return 0;
  } catch (std::exception const &Failure) {
    std::cerr << "laburnum-load: " << Failure.what() << "; see --help\n";
    return 2;
  }
}
