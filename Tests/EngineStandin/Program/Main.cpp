#include <EngineStandin/EngineServer.h>

#include <cxxopts.hpp>
#include <iostream>

using namespace laburnum;

static cxxopts::Options options() {
  cxxopts::Options Options("engine-standin",
                           "Simulates a model engine in tests.");
  auto Add = Options.add_options();
  auto const Number = [&](char const *Name, char const *Default,
                          char const *Help) {
    Add(Name, Help, cxxopts::value<std::uint32_t>()->default_value(Default));
  };
  Number("port", "0", "port to listen on, 0 for any");
  Number("threads", "256", "connections served at once");
  Number("token-interval-ms", "5", "time between two tokens of a request");
  Number("slots", "16", "maximum number of running requests");
  Number("prefix-cache-tokens", "65536", "size of the prefix cache");
  Number("kv-tokens", "131072", "tokens of all running requests");
  Number("prefill-tokens-per-second", "10000", "prefill speed");
  Number("load-lag-ms", "0", "age of the answers of /load");
  Number("crash-after-tokens", "0", "tokens before a marked prompt crashes");
  Number("kept-events", "1024", "number of retained cache events");
  Number("lose-each-event", "0", "drop every Nth cache event, 0 for none");
  Add("honour-fencing", "refuse orders with an old fencing number");
  Add("crash-marker", "prompts that contain this text crash the process",
      cxxopts::value<std::string>()->default_value(""));
  Add("help", "print this");
  return Options;
}

static EngineSettings settings(cxxopts::ParseResult const &Parsed) {
  auto const Number = [&](char const *Name) {
    return Parsed[Name].as<std::uint32_t>();
  };
  EngineSettings Settings;
  Settings.TokenInterval_ =
      std::chrono::milliseconds(Number("token-interval-ms"));
  Settings.Slots_ = Number("slots");
  Settings.PrefixCacheTokens_ = Number("prefix-cache-tokens");
  Settings.KvTokens_ = Number("kv-tokens");
  Settings.PrefillTokensPerSecond_ = Number("prefill-tokens-per-second");
  Settings.LoadLag_ = std::chrono::milliseconds(Number("load-lag-ms"));
  Settings.Fencing_ = Parsed.count("honour-fencing") != 0
                          ? FencingCheck::Honoured
                          : FencingCheck::Ignored;
  Settings.CrashMarker_ = Parsed["crash-marker"].as<std::string>();
  Settings.CrashAfterTokens_ = Number("crash-after-tokens");
  Settings.RetainedEvents_ = Number("kept-events");
  Settings.DroppedEventInterval_ = Number("lose-each-event");
  return Settings;
}

static int run(cxxopts::ParseResult const &Parsed) {
  blockTerminationSignals();
  EngineServer Server(settings(Parsed), Parsed["threads"].as<std::uint32_t>());
  auto const Port = Server.start(
      static_cast<std::uint16_t>(Parsed["port"].as<std::uint32_t>()));
  if (Port == 0) {
    std::cerr << "engine-standin: cannot listen; choose another --port\n";
    return 1;
  }
  serveUntilTermination(Port);
  Server.stop();
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
    std::cerr << "engine-standin: " << Failure.what() << "; see --help\n";
    return 2;
  }
}
