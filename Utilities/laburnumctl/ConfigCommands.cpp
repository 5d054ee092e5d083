#include "Command.h"
#include "Table.h"

namespace laburnum {

namespace {

CommandOutcome inForce(Session &Context) {
  auto const Views = Context.Client_.listConfigurationInForce();
  if (isError(Views))
    return CommandFailure{errorOf(Views), std::nullopt};
  Table Rows({"INSTANCE", "CENTRE", "VERSION", "DIGEST", "AGE-MS"});
  auto Json = nlohmann::json::array();
  for (auto const &One : valueOf(Views)) {
    auto const Age =
        std::chrono::duration_cast<std::chrono::milliseconds>(One.Age_).count();
    Rows.add({One.Instance_.text(), One.DataCentre_.text(),
              std::to_string(One.Version_), std::to_string(One.Digest_),
              std::to_string(Age)});
    Json.push_back({{"instance", One.Instance_.text()},
                    {"data_centre", One.DataCentre_.text()},
                    {"version", One.Version_},
                    {"digest", One.Digest_},
                    {"age_ms", Age}});
  }
  return Report{Rows.text(), Json};
}

} // namespace

std::vector<Command> configCommands() {
  return {{"config",
           "in-force",
           "show the configuration in force at each entry instance",
           {"config in-force", "config in-force --output json"},
           [](cxxopts::Options &) {},
           inForce}};
}

} // namespace laburnum
