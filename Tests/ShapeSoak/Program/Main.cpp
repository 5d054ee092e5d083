#include <ShapeSoak/ShapePlayer.h>
#include <ShapeSoak/ShapeTroubles.h>

#include <cxxopts.hpp>

#include <iostream>
#include <sstream>

using namespace laburnum;
using namespace laburnum::shape_soak;

namespace {

std::set<TroubleKind> kindsIn(std::string const &Only) {
  std::set<TroubleKind> Kinds;
  std::istringstream Names(Only);
  for (std::string Name; std::getline(Names, Name, ',');)
    if (Name != "none")
      Kinds.insert(troubleKinds().at(Name));
  if (Only.empty())
    for (auto const &[Name, Kind] : troubleKinds())
      Kinds.insert(Kind);
  return Kinds;
}

int run(cxxopts::ParseResult const &Given) {
  Shape Played;
  Played.Instances_ = Given["instances"].as<unsigned>();
  Played.StreamServers_ = Given["stream-servers"].as<unsigned>();
  Played.PlainServers_ = Given["plain-servers"].as<unsigned>();
  Played.Share_ = Given["share"].as<double>();
  Played.Rate_ = Given["rate"].as<double>();
  Played.Program_ = Given["program"].as<std::string>();
  auto const Seed = Given["seed"].as<std::uint64_t>();
  auto const Logs = Given["logs"].as<std::string>();
  auto const Kinds = kindsIn(Given["only"].as<std::string>());
  ShapeFleet Fleet(Played, Logs);
  ShapeTroubles Troubles(Fleet, Seed, Kinds, Logs);
  Troubles.addServers();
  Fleet.startInstances();
  ShapePlayer Player(Fleet, Seed,
                     Kinds.contains(TroubleKind::Slow) ||
                             Kinds.contains(TroubleKind::Freeze)
                         ? ShapePlayer::Patience::Mixed
                         : ShapePlayer::Patience::Steady);
  Player.begin();
  Troubles.play(std::chrono::seconds(Given["seconds"].as<unsigned>()));
  Player.end();
  Fleet.saveLogs();
  auto const Ended = Troubles.endedInstances();
  for (auto const &One : Ended)
    std::cout << "finding: " << One << '\n';
  auto Runs = Fleet.servers().runs("/once/");
  Runs.merge(Fleet.servers().runs("/order/"));
  auto &Checker = Player.checker();
  auto Violations = Checker.judge(Fleet.servers().lines("spoiled run="), Runs);
  if (Player.unasked() > 0)
    Violations["answer that nobody asked for"] = Player.unasked();
  auto const Seen = Checker.outcome();
  std::cout << "seed " << Seed << ": " << Seen.Streams_ << " streams, "
            << Seen.Complete_ << " complete, " << Seen.TakenUp_ << " taken up, "
            << Seen.GoneOn_ << " gone on, " << Seen.Plain_ << " plain, "
            << Seen.PlainWhole_ << " whole, " << Player.skipped()
            << " not begun, " << Seen.Spoiled_ << " spoiled, "
            << Fleet.quota().stops() << " stops, " << Seen.Violating_
            << " violating";
  for (auto const &[Kind, Count] : Violations)
    std::cout << ", " << Kind << ' ' << Count;
  std::cout << '\n';
  return !Violations.empty() || !Ended.empty() ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Options(
      "shape-soak", "Plays a deployment of many small laburnum-entry processes "
                    "amid troubles and checks streams and plain answers");
  auto Add = Options.add_options();
  Shape const Usual;
  auto const Default = [](auto Value) {
    std::ostringstream Text;
    Text << Value;
    return cxxopts::value<decltype(Value)>()->default_value(Text.str());
  };
  Add("program", "path of laburnum-entry, or the name of a program here",
      Default(Usual.Program_));
  Add("seed", "seed of the clients and the troubles",
      Default(std::uint64_t{1}));
  Add("seconds", "duration of the troubles", Default(20U));
  Add("instances", "laburnum-entry processes", Default(Usual.Instances_));
  Add("stream-servers", "servers of streams", Default(Usual.StreamServers_));
  Add("plain-servers", "servers of plain answers",
      Default(Usual.PlainServers_));
  Add("share", "of a processor, for each instance; 0: no limit",
      Default(Usual.Share_));
  Add("rate", "factor of the requests a second", Default(Usual.Rate_));
  Add("only", "kinds of trouble, separated by commas, or none; all without it",
      Default(std::string()));
  Add("logs", "existing folder for the logs of the processes",
      Default(std::string()));
  Add("help", "print this");
  try {
    auto const Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help")) {
      std::cout << Options.help();
      return 0;
    }
    return run(Parsed);
  } catch (std::exception const &Failure) {
    std::cerr << "shape-soak: " << Failure.what() << '\n';
    return 2;
  }
}
