#include "ShapeChecker.h"

#include <iostream>
#include <sstream>

namespace laburnum::shape_soak {

namespace {

using stream_soak::ServerFaults;
using stream_soak::StreamHistory;

std::string valueIn(std::string const &Line, std::string const &Label) {
  auto const At = Line.find(Label);
  if (At == std::string::npos)
    return {};
  auto const Begin = At + Label.size();
  return Line.substr(Begin, Line.find(' ', Begin) - Begin);
}

ServerFaults faultsIn(std::vector<std::string> const &Spoiled) {
  ServerFaults Faults;
  for (auto const &Line : Spoiled) {
    auto const Run = valueIn(Line, "run=");
    auto const Event = std::stoull("0" + valueIn(Line, "event="));
    auto const How = valueIn(Line, "how=");
    if (How == "id" || How == "blank")
      Faults.Unreadable_[Run].insert(Event);
    if (How == "omit")
      Faults.LeftOut_[Run].insert(Event);
    if (How == "after-close" && valueIn(Line, "framing=") == "closes")
      Faults.ShownWhole_.insert(Run);
  }
  return Faults;
}

} // namespace

void ShapeChecker::countTry(stream_soak::StreamTry const &Try) {
  constexpr int Success = 200;
  std::lock_guard const Lock(Mutex_);
  if (Try.LastEventId_ == 0)
    return;
  ++Outcome_.TakenUp_;
  Outcome_.GoneOn_ += Try.Answer_.Status_ == Success ? 1 : 0;
}

void ShapeChecker::addStream(std::string const &Path, std::uint64_t Length,
                             StreamHistory History, bool IsComplete) {
  std::lock_guard const Lock(Mutex_);
  ++Outcome_.Streams_;
  Outcome_.Complete_ += IsComplete ? 1 : 0;
  if (!History.violations().empty())
    Suspects_.push_back({Path, Length, History.allTries()});
}

void ShapeChecker::addPlain(std::string const &Path, int Status,
                            std::string const &Body, bool IsComplete) {
  constexpr int Success = 200;
  std::lock_guard const Lock(Mutex_);
  ++Outcome_.Plain_;
  if (Status != Success || !IsComplete)
    return;
  std::istringstream Words(Body);
  std::string Begin, BeginPath, BeginRun, End, EndPath, EndRun;
  Words >> Begin >> BeginPath >> BeginRun >> End >> EndPath >> EndRun;
  bool const IsWhole = Begin == "begin" && End == "end" && BeginPath == Path &&
                       EndPath == Path && BeginRun == EndRun &&
                       Body.ends_with('\n');
  Outcome_.PlainWhole_ += IsWhole ? 1 : 0;
  if (!IsWhole)
    TornAnswers_.push_back(Path + " run=" + BeginRun + ' ' + Body);
}

Outcome ShapeChecker::outcome() {
  std::lock_guard const Lock(Mutex_);
  return Outcome_;
}

std::map<std::string, std::uint64_t>
ShapeChecker::judge(std::vector<std::string> const &Spoiled,
                    std::map<std::string, unsigned> const &Runs) {
  std::lock_guard const Lock(Mutex_);
  auto const Faults = faultsIn(Spoiled);
  std::map<std::string, std::uint64_t> Kinds;
  for (auto const &Suspect : Suspects_) {
    StreamHistory History(Suspect.Length_, Faults);
    for (auto const &Try : Suspect.Tries_)
      History.add(Try);
    if (History.violations().empty()) {
      ++Outcome_.Spoiled_;
      continue;
    }
    ++Outcome_.Violating_;
    std::cout << "violation: stream " << Suspect.Path_ << ':';
    for (auto const &Violation : History.violations()) {
      ++Kinds[Violation];
      std::cout << ' ' << Violation << ';';
    }
    std::cout << " tries " << History.tries() << '\n' << History.describe();
  }
  for (auto const &Answer : TornAnswers_) {
    bool const IsShownWhole =
        Faults.ShownWhole_.contains(valueIn(Answer, "run="));
    auto const *Kind = IsShownWhole ? "torn answer shown as whole by the server"
                                    : "torn answer";
    ++Kinds[Kind];
    ++Outcome_.Violating_;
    std::cout << "violation: " << Kind << ' ' << Answer << '\n';
  }
  for (auto const &[Path, Count] : Runs)
    if (Count > 1) {
      ++Kinds["second run"];
      ++Outcome_.Violating_;
      std::cout << "violation: " << Path << " ran " << Count << " times\n";
    }
  std::cout << std::flush;
  return Kinds;
}

} // namespace laburnum::shape_soak
