#include "Command.h"
#include "Table.h"

namespace laburnum {

namespace {

CommandOutcome list(Session &Context) {
  auto const Views = Context.Client_.listReclaims();
  if (isError(Views))
    return CommandFailure{errorOf(Views), std::nullopt};
  Table Rows({"INSTANCE", "CENTRE", "REMAINING-MS", "SOURCE", "STREAMS-MOVED"});
  auto Json = nlohmann::json::array();
  for (auto const &One : valueOf(Views)) {
    auto const Remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(One.Remaining_)
            .count();
    Rows.add({One.Instance_, One.DataCentre_.text(), std::to_string(Remaining),
              One.Source_, std::to_string(One.StreamsMoved_)});
    Json.push_back({{"instance", One.Instance_},
                    {"data_centre", One.DataCentre_.text()},
                    {"remaining_ms", Remaining},
                    {"source", One.Source_},
                    {"streams_moved", One.StreamsMoved_}});
  }
  return Report{Rows.text(), Json};
}

} // namespace

std::vector<Command> reclaimCommands() {
  return {{"reclaim",
           "list",
           "list the machines that the cloud is reclaiming",
           {"reclaim list"},
           [](cxxopts::Options &) {},
           list}};
}

} // namespace laburnum
