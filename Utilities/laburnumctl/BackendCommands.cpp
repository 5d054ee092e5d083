#include "Change.h"
#include "Drain.h"
#include "ObjectCommands.h"

#include <LibSettings/ValueParsers.h>

namespace laburnum {

namespace {

KindNames const Names{ObjectKind::Server, "backend", "id", "r1"};

void addOptions(cxxopts::Options &Options) {
  auto const Text = [] { return cxxopts::value<std::string>(); };
  auto Add = Options.add_options("backend");
  Add("id", "the backend server's name", Text(), "NAME");
  Add("service", "the service that it runs", Text(), "NAME");
  Add("data-centre", "its data centre", Text(), "NAME");
  Add("address", "its endpoint", Text(), "HOST:PORT");
  Add("fencing", "honoured or ignored", Text(), "CHECK");
  Add("capacity", "maximum number of running requests",
      cxxopts::value<DecimalInteger<std::uint32_t>>(), "N");
  Add("price-per-hour", "in the operators' currency", cxxopts::value<double>(),
      "X");
  Add("reclaimable", "whether the cloud may reclaim it; =false for no",
      cxxopts::value<bool>());
  addChangeOptions(Options);
}

Error wrongValue(std::string const &Option, std::string const &Allowed) {
  return {ErrorKind::InvalidArgument,
          "--" + Option + " has a value not allowed", "give " + Allowed};
}

std::optional<Error> readFencing(Session const &Context, BackendServer &Value) {
  if (!Context.has("fencing"))
    return std::nullopt;
  auto const Name = Context.text("fencing");
  if (Name != "honoured" && Name != "ignored")
    return wrongValue("fencing", "honoured or ignored");
  Value.Fencing_ =
      Name == "honoured" ? FencingCheck::Honoured : FencingCheck::Ignored;
  return std::nullopt;
}

std::optional<Error> readAddress(Session const &Context, BackendServer &Value) {
  if (!Context.has("address"))
    return std::nullopt;
  auto const Address = parseEndpoint(Context.text("address"));
  if (!Address)
    return wrongValue("address", "HOST:PORT");
  Value.Endpoint_ = *Address;
  return std::nullopt;
}

std::optional<Error> readOptions(Session const &Context, BackendServer &Value) {
  if (Context.has("service"))
    Value.Service_ = ServiceName(Context.text("service"));
  if (Context.has("data-centre"))
    Value.DataCentre_ = DataCentre(Context.text("data-centre"));
  Context.read("capacity", Value.Capacity_);
  Context.read("price-per-hour", Value.PricePerHour_);
  Context.read("reclaimable", Value.IsReclaimable_);
  if (auto Failure = readFencing(Context, Value))
    return Failure;
  return readAddress(Context, Value);
}

CommandOutcome apply(Session &Context, ObjectName const &Name) {
  auto const Current = findObject(Context, Name);
  if (isError(Current))
    return CommandFailure{errorOf(Current), std::nullopt};
  BackendServer Value;
  if (valueOf(Current))
    Value = std::get<BackendServer>(valueOf(Current)->Value_);
  Value.Id_ = ServerId(Name.Name_);
  if (auto const Failure = readOptions(Context, Value))
    return CommandFailure{*Failure, std::nullopt};
  return sendChange(Context, Name, valueOf(Current),
                    [&](OperatorChange const &Change) {
                      return Context.Client_.applyServer(Change, Value);
                    });
}

Command drainCommand() {
  return {"backend",
          "drain",
          "send a backend server no new requests and let it finish",
          {"backend drain --id r1 --within-ms 60000"},
          [](cxxopts::Options &Options) {
            Options.add_options("backend")("id", "the backend server's name",
                                           cxxopts::value<std::string>(),
                                           "NAME");
            addDrainOptions(Options);
          },
          [](Session &Context) {
            return runWithName(Context, Names, [&](ObjectName const &Name) {
              return runDrain(Context, ServerId(Name.Name_));
            });
          }};
}

} // namespace

std::vector<Command> backendCommands() {
  std::vector<Command> All = {
      {"backend",
       "apply",
       "register a backend server, or change the given fields of one",
       {"backend apply --id r1 --service dossier-writer --data-centre wien-1 "
        "--address 127.0.0.1:9000 --fencing honoured --capacity 16",
        "backend apply --id r1 --reclaimable=false --price-per-hour 2.5"},
       addOptions,
       [](Session &Context) {
         return runWithName(Context, Names, [&](ObjectName const &Name) {
           return apply(Context, Name);
         });
       }}};
  auto const Common = commonCommands(Names);
  All.insert(All.end(), Common.begin(), Common.end());
  All.push_back(drainCommand());
  return All;
}

} // namespace laburnum
