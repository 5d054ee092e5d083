#include "Command.h"
#include "Table.h"

namespace laburnum {

namespace {

CommandOutcome read(Session &Context) {
  std::string Prefix;
  Context.read("prefix", Prefix);
  auto const Metrics = Context.Client_.readMetrics(Prefix);
  if (isError(Metrics))
    return CommandFailure{errorOf(Metrics), std::nullopt};
  Table Rows({"NAME", "UNIT", "COUNT", "SUM", "P50", "P95", "P99", "MAXIMUM"});
  auto Json = nlohmann::json::array();
  for (auto const &One : valueOf(Metrics)) {
    Rows.add({One.Name_, One.Unit_, std::to_string(One.Count_),
              numberText(One.Sum_), numberText(One.P50_), numberText(One.P95_),
              numberText(One.P99_), numberText(One.Maximum_)});
    Json.push_back({{"name", One.Name_},
                    {"unit", One.Unit_},
                    {"count", One.Count_},
                    {"sum", One.Sum_},
                    {"p50", One.P50_},
                    {"p95", One.P95_},
                    {"p99", One.P99_},
                    {"maximum", One.Maximum_}});
  }
  return Report{Rows.text(), Json};
}

} // namespace

std::vector<Command> metricsCommands() {
  return {{"metrics",
           "",
           "show the counters and distributions of the entry instance",
           {"metrics", "metrics --prefix serving. --output json"},
           [](cxxopts::Options &Options) {
             Options.add_options("metrics")(
                 "prefix", "only names with this prefix",
                 cxxopts::value<std::string>(), "TEXT");
           },
           read}};
}

} // namespace laburnum
