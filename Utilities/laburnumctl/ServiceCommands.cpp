#include "Change.h"
#include "ObjectCommands.h"

namespace laburnum {

namespace {

KindNames const Names{ObjectKind::Service, "service", "name", "entry-desk"};

void addOptions(cxxopts::Options &Options) {
  auto const Text = [] { return cxxopts::value<std::string>(); };
  auto const Texts = [] { return cxxopts::value<std::vector<std::string>>(); };
  auto const Number = [] { return cxxopts::value<double>(); };
  auto Add = Options.add_options("service");
  Add("name", "the service's name", Text(), "NAME");
  Add("kind", "model or plain", Text(), "KIND");
  Add("data-centres", "data centres of its servers; empty: any", Texts(),
      "NAMES");
  Add("desired-servers", "target number of servers",
      cxxopts::value<DecimalInteger<std::uint32_t>>(), "N");
  Add("on-demand-share", "minimum share of on-demand servers, 0 to 1", Number(),
      "X");
  Add("priority", "lower priorities are refused first under overload",
      cxxopts::value<DecimalInteger<std::int32_t>>(), "N");
  Add("latency-target-ms", "target for the 95th percentile of first answers",
      cxxopts::value<DecimalInteger<std::uint32_t>>(), "N");
  Add("non-idempotent",
      "calls that must not run twice; no METHOD: all but GET, HEAD, OPTIONS",
      Texts(), "METHOD:/PATH");
  Add("recomputed-token-weight", "cost units per recomputed token", Number(),
      "X");
  Add("cost-weight", "cost units per unit of machine price", Number(), "X");
  Add("retry-budget", "retries per request, 0 to 1", Number(), "X");
  addChangeOptions(Options);
}

std::optional<Error> readKind(Session const &Context, Service &Value) {
  if (!Context.has("kind"))
    return std::nullopt;
  auto const Kind = Context.text("kind");
  if (Kind != "model" && Kind != "plain")
    return Error{ErrorKind::InvalidArgument, "--kind has a value not allowed",
                 "give model or plain"};
  Value.Kind_ = Kind == "model" ? ServiceKind::Model : ServiceKind::Plain;
  return std::nullopt;
}

std::optional<Error> readCalls(Session const &Context, Service &Value) {
  if (!Context.has("non-idempotent"))
    return std::nullopt;
  Value.NonIdempotentCalls_.clear();
  for (auto const &Text : Context.texts("non-idempotent")) {
    auto const Colon = Text.find(':');
    if (Colon == std::string::npos || !Text.substr(Colon + 1).starts_with('/'))
      return Error{ErrorKind::InvalidArgument,
                   "--non-idempotent has a value not allowed",
                   "give METHOD:/PATH or :/PATH"};
    Value.NonIdempotentCalls_.push_back(
        {Text.substr(0, Colon), Text.substr(Colon + 1)});
  }
  return std::nullopt;
}

void readPlacement(Session const &Context, Placement &Value) {
  Context.read("desired-servers", Value.DesiredServers_);
  Context.read("on-demand-share", Value.OnDemandShare_);
  if (!Context.has("data-centres"))
    return;
  Value.DataCentres_.clear();
  for (auto const &Name : Context.texts("data-centres"))
    Value.DataCentres_.emplace_back(Name);
}

std::optional<Error> readOptions(Session const &Context, Service &Value) {
  readPlacement(Context, Value.Placement_);
  Context.read("priority", Value.Priority_);
  if (Context.has("latency-target-ms"))
    Value.LatencyTarget_ =
        std::chrono::milliseconds(Context.Arguments_["latency-target-ms"]
                                      .as<DecimalInteger<std::uint32_t>>()
                                      .Value_);
  Context.read("recomputed-token-weight", Value.Weights_.RecomputedToken_);
  Context.read("cost-weight", Value.Weights_.Cost_);
  Context.read("retry-budget", Value.RetryBudget_);
  if (auto Failure = readKind(Context, Value))
    return Failure;
  return readCalls(Context, Value);
}

CommandOutcome apply(Session &Context, ObjectName const &Name) {
  auto const Current = findObject(Context, Name);
  if (isError(Current))
    return CommandFailure{errorOf(Current), std::nullopt};
  Service Value;
  if (valueOf(Current))
    Value = std::get<Service>(valueOf(Current)->Value_);
  Value.Name_ = ServiceName(Name.Name_);
  if (auto const Failure = readOptions(Context, Value))
    return CommandFailure{*Failure, std::nullopt};
  return sendChange(Context, Name, valueOf(Current),
                    [&](OperatorChange const &Change) {
                      return Context.Client_.applyService(Change, Value);
                    });
}

} // namespace

std::vector<Command> serviceCommands() {
  std::vector<Command> All = {
      {"service",
       "apply",
       "create a service, or change the given fields of one",
       {"service apply --name entry-desk --kind plain "
        "--non-idempotent POST:/fees",
        "service apply --name dossier-writer --kind model "
        "--data-centres wien-1,graz-1 --desired-servers 12"},
       addOptions,
       [](Session &Context) {
         return runWithName(Context, Names, [&](ObjectName const &Name) {
           return apply(Context, Name);
         });
       }}};
  auto const Common = commonCommands(Names);
  All.insert(All.end(), Common.begin(), Common.end());
  return All;
}

} // namespace laburnum
