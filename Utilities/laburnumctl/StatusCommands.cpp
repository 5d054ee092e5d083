#include "Command.h"

#include <LibAdmin/ViewCodec.h>

namespace laburnum {

namespace {

std::string platformText(StatusView const &Status) {
  return Status.Platform_ == PlatformConnectivity::Reachable ? "reachable"
                                                             : "UNREACHABLE";
}

std::string headline(StatusView const &Status) {
  switch (Status.Overall_) {
  case Severity::Ok:
    return "OK: all is well.";
  case Severity::Warning:
    return "WARNING: it serves, but something needs attention.";
  case Severity::Critical:
    return "CRITICAL: requests fail or soon will.";
  }
  return "CRITICAL: the state is unknown.";
}

std::string textOf(StatusView const &Status) {
  auto Text = headline(Status) + "\n\n";
  Text += "asked instance   " + Status.Instance_.text() + "\n";
  Text += "entry instances  " + std::to_string(Status.EntryInstances_) + "\n";
  Text += "backend servers  " + std::to_string(Status.ServersLive_) +
          " live, " + std::to_string(Status.ServersLeaving_) + " leaving\n";
  Text += "configuration    version " +
          std::to_string(Status.ConfigurationVersion_) + ", " +
          std::to_string(Status.Services_) + " services, " +
          std::to_string(Status.Accounts_) + " accounts\n";
  Text += "platform         " + platformText(Status) + "\n";
  for (auto const &One : Status.Findings_)
    Text += "\n" + toString(One.Severity_) + ": " + One.What_ +
            "\n  what to do: " + One.Remedy_ + "\n";
  return Text;
}

nlohmann::json jsonOf(StatusView const &Status) {
  auto Findings = nlohmann::json::array();
  for (auto const &One : Status.Findings_)
    Findings.push_back({{"severity", toString(One.Severity_)},
                        {"what", One.What_},
                        {"remedy", One.Remedy_}});
  return {{"instance", Status.Instance_.text()},
          {"overall", toString(Status.Overall_)},
          {"findings", Findings},
          {"entry_instances", Status.EntryInstances_},
          {"servers_live", Status.ServersLive_},
          {"servers_leaving", Status.ServersLeaving_},
          {"services", Status.Services_},
          {"accounts", Status.Accounts_},
          {"configuration_version", Status.ConfigurationVersion_},
          {"platform_reachable",
           Status.Platform_ == PlatformConnectivity::Reachable}};
}

CommandOutcome read(Session &Context) {
  auto const Status = Context.Client_.readStatus();
  if (isError(Status))
    return CommandFailure{errorOf(Status), std::nullopt};
  auto const &View = valueOf(Status);
  return Report{textOf(View), jsonOf(View),
                View.Overall_ == Severity::Ok ? 0 : AttentionExitCode};
}

} // namespace

std::vector<Command> statusCommands() {
  return {{"status",
           "",
           "show the overall health, and what to do about findings",
           {"status", "status --server 127.0.0.1:8081 --output json"},
           [](cxxopts::Options &) {},
           read}};
}

} // namespace laburnum
