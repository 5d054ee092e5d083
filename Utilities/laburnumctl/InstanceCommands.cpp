#include "Command.h"
#include "Drain.h"
#include "Table.h"

#include <LibAdmin/ViewCodec.h>

namespace laburnum {

namespace {

CommandOutcome list(Session &Context) {
  auto const Views = Context.Client_.listInstances();
  if (isError(Views))
    return CommandFailure{errorOf(Views), std::nullopt};
  Table Rows(
      {"ID", "ROLE", "CENTRE", "STATE", "SERVICE", "ADDRESS", "RUNNING"});
  auto Json = nlohmann::json::array();
  for (auto const &One : valueOf(Views)) {
    Rows.add({One.Id_, toString(One.Role_), One.DataCentre_.text(),
              toString(One.Liveness_), One.Service_.text(), One.Address_,
              std::to_string(One.Running_)});
    Json.push_back({{"id", One.Id_},
                    {"role", toString(One.Role_)},
                    {"data_centre", One.DataCentre_.text()},
                    {"liveness", toString(One.Liveness_)},
                    {"service", One.Service_.text()},
                    {"address", One.Address_},
                    {"running", One.Running_}});
  }
  return Report{Rows.text(), Json};
}

} // namespace

std::vector<Command> instanceCommands() {
  return {{"instance",
           "list",
           "list entry instances and backend servers with their state",
           {"instance list"},
           [](cxxopts::Options &) {},
           list},
          {"instance",
           "drain",
           "take the entry instance named by --server out of use",
           {"instance drain --server 127.0.0.1:8081 --within-ms 20000"},
           addDrainOptions,
           [](Session &Context) { return runDrain(Context, ServerId()); }}};
}

} // namespace laburnum
