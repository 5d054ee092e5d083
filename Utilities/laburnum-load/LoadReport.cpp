#include "LoadReport.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace laburnum {

using nlohmann::json;

static std::string nameOf(LoadKind Kind) {
  switch (Kind) {
  case LoadKind::Plain:
    return "plain";
  case LoadKind::Short:
    return "short";
  case LoadKind::Long:
    return "long";
  }
  return "";
}

/// The nearest-rank percentile of sorted values, in milliseconds.
static double percentile(std::vector<Duration> const &Sorted, double Share) {
  auto const Rank = std::ceil(Share * static_cast<double>(Sorted.size()));
  auto const Index = static_cast<std::size_t>(std::max(Rank, 1.0)) - 1;
  return std::chrono::duration<double, std::milli>(Sorted[Index]).count();
}

static json percentilesOf(std::vector<Duration> Values) {
  if (Values.empty())
    return nullptr;
  std::sort(Values.begin(), Values.end());
  return {{"count", Values.size()},
          {"p50_ms", percentile(Values, 0.50)},
          {"p95_ms", percentile(Values, 0.95)},
          {"p99_ms", percentile(Values, 0.99)},
          {"max_ms", percentile(Values, 1.0)}};
}

/// Latencies of complete answers only; the others are counted by outcome.
static json latenciesOf(std::vector<CallOutcome> const &Outcomes,
                        LoadKind Kind) {
  std::vector<Duration> First;
  std::vector<Duration> Complete;
  for (auto const &One : Outcomes) {
    if (One.Kind_ != Kind || !One.IsComplete_)
      continue;
    Complete.push_back(One.TotalTime_);
    if (One.FirstTokenTime_)
      First.push_back(*One.FirstTokenTime_);
  }
  return {{"first_token", percentilesOf(First)},
          {"whole_answer", percentilesOf(Complete)}};
}

static std::map<std::string, std::size_t>
countsOf(std::vector<CallOutcome> const &Outcomes) {
  std::map<std::string, std::size_t> Counts;
  for (auto const &One : Outcomes) {
    auto Name = nameOf(One.Kind_) + " status=" + std::to_string(One.Status_);
    Name += One.IsComplete_ ? " whole" : " not_whole";
    if (!One.RunState_.empty())
      Name += " run_state=" + One.RunState_;
    ++Counts[Name];
  }
  return Counts;
}

static json reportOf(LoadRun const &Run) {
  auto const &Outcomes = Run.Outcomes_;
  auto const Seconds = std::chrono::duration<double>(Run.Elapsed_).count();
  auto const Complete =
      std::count_if(Outcomes.begin(), Outcomes.end(),
                    [](CallOutcome const &One) { return One.IsComplete_; });
  json Report = {{"calls", Outcomes.size()},
                 {"whole", Complete},
                 {"elapsed_s", Seconds},
                 {"outcomes", countsOf(Outcomes)}};
  for (auto const Kind : {LoadKind::Plain, LoadKind::Short, LoadKind::Long})
    Report["latency"][nameOf(Kind)] = latenciesOf(Outcomes, Kind);
  return Report;
}

std::string jsonOf(LoadRun const &Run) { return reportOf(Run).dump(2) + '\n'; }

std::string tableOf(LoadRun const &Run) {
  auto const Report = reportOf(Run);
  std::ostringstream Table;
  Table << "calls " << Report["calls"] << ", whole " << Report["whole"]
        << ", seconds " << Report["elapsed_s"] << '\n';
  for (auto const &[Name, Count] : Report["outcomes"].items())
    Table << "  " << Name << ": " << Count << '\n';
  Table << "kind what count p50_ms p95_ms p99_ms max_ms\n";
  for (auto const &[Kind, Latencies] : Report["latency"].items())
    for (auto const &[What, Row] : Latencies.items()) {
      if (Row.is_null())
        continue;
      Table << Kind << ' ' << What;
      for (char const *Column :
           {"count", "p50_ms", "p95_ms", "p99_ms", "max_ms"})
        Table << ' ' << Row[Column];
      Table << '\n';
    }
  return Table.str();
}

} // namespace laburnum
