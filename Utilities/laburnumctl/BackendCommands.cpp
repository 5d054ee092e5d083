#include "Change.h"
#include "Drain.h"
#include "ObjectCommands.h"

#include <LibSettings/ValueParsers.h>

namespace laburnum {

namespace {

KindWords const Words{ObjectKind::Server, "backend", "id", "r1"};

void addOptions(cxxopts::Options &Options) {
  auto const Text = [] { return cxxopts::value<std::string>(); };
  auto Add = Options.add_options("backend");
  Add("id", "the backend server's name", Text(), "NAME");
  Add("service", "the service that it runs", Text(), "NAME");
  Add("data-centre", "where it runs", Text(), "NAME");
  Add("address", "where it answers", Text(), "HOST:PORT");
  Add("fencing", "honoured or ignored", Text(), "CHECK");
  Add("capacity", "requests that it runs at once",
      cxxopts::value<WholeNumber<std::uint32_t>>(), "N");
  Add("price-per-hour", "in the operators' currency", cxxopts::value<double>(),
      "X");
  Add("reclaimable", "whether the cloud may take it back; =false for no",
      cxxopts::value<bool>());
  addChangeOptions(Options);
}

Error wrongValue(std::string const &Option, std::string const &Allowed) {
  return {ErrorKind::InvalidArgument,
          "--" + Option + " has a value not allowed", "give " + Allowed};
}

std::optional<Error> readFencing(Session const &Now, BackendServer &Value) {
  if (!Now.has("fencing"))
    return std::nullopt;
  auto const Name = Now.text("fencing");
  if (Name != "honoured" && Name != "ignored")
    return wrongValue("fencing", "honoured or ignored");
  Value.Fencing_ =
      Name == "honoured" ? FencingCheck::Honoured : FencingCheck::Ignored;
  return std::nullopt;
}

std::optional<Error> readAddress(Session const &Now, BackendServer &Value) {
  if (!Now.has("address"))
    return std::nullopt;
  auto const Address = parseEndpoint(Now.text("address"));
  if (!Address)
    return wrongValue("address", "HOST:PORT");
  Value.Endpoint_ = *Address;
  return std::nullopt;
}

std::optional<Error> readOptions(Session const &Now, BackendServer &Value) {
  if (Now.has("service"))
    Value.Service_ = ServiceName(Now.text("service"));
  if (Now.has("data-centre"))
    Value.DataCentre_ = DataCentre(Now.text("data-centre"));
  Now.read("capacity", Value.Capacity_);
  Now.read("price-per-hour", Value.PricePerHour_);
  Now.read("reclaimable", Value.IsReclaimable_);
  if (auto Failure = readFencing(Now, Value))
    return Failure;
  return readAddress(Now, Value);
}

CommandOutcome apply(Session &Now, ObjectName const &Name) {
  auto const Present = lookUp(Now, Name);
  if (isError(Present))
    return CommandFailure{errorOf(Present), std::nullopt};
  BackendServer Value;
  if (valueOf(Present))
    Value = std::get<BackendServer>(valueOf(Present)->Value_);
  Value.Id_ = ServerId(Name.Name_);
  if (auto const Failure = readOptions(Now, Value))
    return CommandFailure{*Failure, std::nullopt};
  return sendChange(Now, Name, valueOf(Present),
                    [&](OperatorChange const &Change) {
                      return Now.Client_.applyServer(Change, Value);
                    });
}

Command drainCommand() {
  return {"backend",
          "drain",
          "let a backend server finish and send it nothing new",
          {"backend drain --id r1 --within-ms 60000"},
          [](cxxopts::Options &Options) {
            Options.add_options("backend")("id", "the backend server's name",
                                           cxxopts::value<std::string>(),
                                           "NAME");
            addDrainOptions(Options);
          },
          [](Session &Now) {
            return withName(Now, Words, [&](ObjectName const &Name) {
              return runDrain(Now, ServerId(Name.Name_));
            });
          }};
}

} // namespace

std::vector<Command> backendCommands() {
  std::vector<Command> All = {
      {"backend",
       "apply",
       "introduce a backend server, or change the given fields of one",
       {"backend apply --id r1 --service dossier-writer --data-centre wien-1 "
        "--address 127.0.0.1:9000 --fencing honoured --capacity 16",
        "backend apply --id r1 --reclaimable=false --price-per-hour 2.5"},
       addOptions,
       [](Session &Now) {
         return withName(Now, Words, [&](ObjectName const &Name) {
           return apply(Now, Name);
         });
       }}};
  auto const Common = commonCommands(Words);
  All.insert(All.end(), Common.begin(), Common.end());
  All.push_back(drainCommand());
  return All;
}

} // namespace laburnum
