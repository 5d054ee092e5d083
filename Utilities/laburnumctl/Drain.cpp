#include "Drain.h"

namespace laburnum {

void addDrainOptions(cxxopts::Options &Options) {
  Options.add_options("drain")(
      "within-ms", "time for requests to finish; 0: the daemon's setting",
      cxxopts::value<DecimalInteger<std::uint32_t>>()->default_value("0"), "N");
}

CommandOutcome runDrain(Session &Context, ServerId const &Server) {
  std::chrono::milliseconds const Within(
      Context.Arguments_["within-ms"]
          .as<DecimalInteger<std::uint32_t>>()
          .Value_);
  auto const Outcome = Context.Client_.drain({Server, Within, ""});
  if (isError(Outcome))
    return CommandFailure{errorOf(Outcome), std::nullopt};
  auto const What =
      Server.isEmpty() ? std::string("entry instance") : Server.text();
  return Report{What + ": draining\n", {{"draining", What}}};
}

} // namespace laburnum
