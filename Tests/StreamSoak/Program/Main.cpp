#include <StreamSoak/StreamPlayer.h>
#include <StreamSoak/Troubles.h>

#include <cxxopts.hpp>

#include <iostream>

using namespace laburnum;
using namespace laburnum::stream_soak;
using entry_process::VersionedFleet;

namespace {

constexpr unsigned Clients = 20;

std::set<TroubleKind> kindsIn(std::string const &Only) {
  std::set<TroubleKind> Kinds;
  std::istringstream Names(Only);
  for (std::string Name; std::getline(Names, Name, ',');)
    Kinds.insert(troubleKinds().at(Name));
  // All at once; but servers report themselves and send nothing odd, and
  // clients read fast.
  if (Kinds.empty())
    for (auto const &[Name, Kind] : troubleKinds())
      if (Kind != TroubleKind::Silent && Kind != TroubleKind::Slow &&
          Kind != TroubleKind::Odd && Kind != TroubleKind::Anew)
        Kinds.insert(Kind);
  return Kinds;
}

int run(cxxopts::ParseResult const &Given) {
  auto const Seed = Given["seed"].as<std::uint64_t>();
  auto const Kinds = kindsIn(Given["only"].as<std::string>());
  VersionedFleet Fleet(Given["instances"].as<unsigned>(),
                       VersionedFleet::Stop::Paced,
                       Given["program"].as<std::string>(),
                       Given["first-program"].as<std::string>());
  Troubles Played(Fleet, Seed, Kinds, Given["logs"].as<std::string>());
  Played.addServers(Seed);
  Fleet.startInstances();
  StreamPlayer Player(Fleet, Seed,
                      Kinds.contains(TroubleKind::Slow)
                          ? StreamPlayer::Reading::Slow
                          : StreamPlayer::Reading::Fast);
  Player.begin(Clients);
  Played.play(std::chrono::seconds(Given["seconds"].as<unsigned>()));
  Player.end();
  Played.saveLogs();
  auto const Ended = Played.endedInstances();
  for (auto const &One : Ended)
    std::cout << "finding: " << One << '\n';
  auto const Seen = Player.outcome();
  std::cout << "seed " << Seed << ": " << Seen.Streams_ << " streams, "
            << Seen.Complete_ << " complete, " << Seen.TakenUp_ << " taken up, "
            << Seen.GoneOn_ << " gone on, " << Seen.Refused_ << " refused, "
            << Seen.Violating_ << " violating";
  for (auto const &[Kind, Count] : Seen.Violations_)
    std::cout << ", " << Kind << ' ' << Count;
  std::cout << '\n';
  return Seen.Violating_ > 0 || !Ended.empty() ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Options("stream-soak",
                           "Plays streams through real laburnum-entry "
                           "processes amid troubles and checks rule ORDER");
  auto Add = Options.add_options();
  Add("program",
      "path of laburnum-entry, or the name of a program here; only "
      "cuttable-entry can be cut off",
      cxxopts::value<std::string>()->default_value("cuttable-entry"));
  Add("first-program", "the same for the first instance alone",
      cxxopts::value<std::string>()->default_value(""));
  Add("seed", "seed of the clients and the troubles",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  Add("seconds", "duration of the troubles",
      cxxopts::value<unsigned>()->default_value("20"));
  Add("instances", "laburnum-entry processes",
      cxxopts::value<unsigned>()->default_value("3"));
  Add("only", "kinds of trouble, separated by commas; all without it",
      cxxopts::value<std::string>()->default_value(""));
  Add("logs", "existing folder for the logs of the instances",
      cxxopts::value<std::string>()->default_value(""));
  Add("help", "print this");
  try {
    auto const Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help")) {
      std::cout << Options.help();
      return 0;
    }
    return run(Parsed);
  } catch (std::exception const &Failure) {
    std::cerr << "stream-soak: " << Failure.what() << '\n';
    return 2;
  }
}
