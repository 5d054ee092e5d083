#include "StatusReport.h"

#include <LibModel/JsonCodec.h>

#include <algorithm>

namespace laburnum {

namespace {

template <typename Value>
std::optional<ObjectView> viewOf(Version ObjectVersion,
                                 Result<Value> const &Decoded) {
  if (isError(Decoded))
    return std::nullopt;
  return ObjectView{ObjectVersion, valueOf(Decoded)};
}

bool acceptsWork(BackendServer const &Server,
                 servers::Departures const &Departures) {
  return !Departures.contains(Server.Id_);
}

void addPlatformFinding(StatusInputs const &Inputs, StatusView &View) {
  if (Inputs.Platform_ == PlatformConnectivity::Reachable)
    return;
  View.Findings_.push_back(
      {Severity::Warning,
       "the platform's object API does not answer this instance",
       "callers are still served, but calls that may not run twice are "
       "refused and no change is accepted: bring the object API back"});
}

void addServiceFindings(Service const &Checked, StatusInputs const &Inputs,
                        StatusView &View) {
  auto const &Servers = Inputs.Configuration_->serversOf(Checked.Name_);
  auto const Accepting = std::count_if(
      Servers.begin(), Servers.end(), [&](BackendServer const &Server) {
        return acceptsWork(Server, *Inputs.Departures_);
      });
  View.ServersLive_ += static_cast<std::uint32_t>(Accepting);
  View.ServersLeaving_ += static_cast<std::uint32_t>(Servers.size()) -
                          static_cast<std::uint32_t>(Accepting);
  if (Accepting > 0)
    return;
  View.Findings_.push_back(
      {Severity::Critical,
       "the service " + Checked.Name_.text() + " has no server that takes work",
       "start servers and introduce them with: laburnumctl backend apply"});
}

void addVersionFindings(StatusInputs const &Inputs, StatusView &View) {
  for (auto const &Member : Inputs.Members_) {
    if (Member.Liveness_ != Liveness::Live ||
        Member.ConfigurationVersion_ >= Inputs.ConfigurationVersion_)
      continue;
    View.Findings_.push_back(
        {Severity::Warning,
         "the entry instance " + Member.Instance_.Id_.text() +
             " was last heard with an older configuration",
         "look again in 8 s; if it stays, check its connections to peers"});
  }
}

} // namespace

StatusView statusOf(StatusInputs const &Inputs) {
  StatusView View;
  View.Instance_ = Inputs.Self_;
  View.Platform_ = Inputs.Platform_;
  View.ConfigurationVersion_ = Inputs.ConfigurationVersion_;
  View.Services_ =
      static_cast<std::uint32_t>(Inputs.Configuration_->services().size());
  View.Accounts_ =
      static_cast<std::uint32_t>(Inputs.Configuration_->accounts().size());
  View.EntryInstances_ = static_cast<std::uint32_t>(
      std::count_if(Inputs.Members_.begin(), Inputs.Members_.end(),
                    [](Member const &Candidate) {
                      return Candidate.Liveness_ == Liveness::Live;
                    }));
  addPlatformFinding(Inputs, View);
  for (auto const &[Name, Checked] : Inputs.Configuration_->services())
    addServiceFindings(Checked, Inputs, View);
  addVersionFindings(Inputs, View);
  for (auto const &Finding : View.Findings_)
    View.Overall_ = std::max(View.Overall_, Finding.Severity_);
  return View;
}

std::optional<ObjectView> viewOf(ConfigurationObject const &Object) {
  auto const &Text = Object.Specification_;
  switch (Object.Name_.Kind_) {
  case ObjectKind::Service:
    return viewOf(Object.Version_, decodeService(Text));
  case ObjectKind::Account:
    return viewOf(Object.Version_, decodeClientAccount(Text));
  case ObjectKind::Server:
    return viewOf(Object.Version_, decodeBackendServer(Text));
  }
  return std::nullopt;
}

InstanceView viewOf(BackendServer const &Server,
                    servers::Departures const &Departures) {
  InstanceView View;
  View.Id_ = Server.Id_.text();
  View.Role_ = InstanceRole::Server;
  View.DataCentre_ = Server.DataCentre_;
  View.Service_ = Server.Service_;
  View.Address_ =
      Server.Endpoint_.Host_ + ":" + std::to_string(Server.Endpoint_.Port_);
  auto const Found = Departures.find(Server.Id_);
  if (Found != Departures.end())
    View.Liveness_ = Found->second.Liveness_;
  return View;
}

AuditEntry auditEntryOf(ObjectName const &Name, ChangeRecord const &Record) {
  constexpr std::int64_t MillisecondsPerSecond = 1000;
  AuditEntry Entry;
  Entry.ChangeId_ = Record.Change_;
  Entry.OperatorName_ = Record.Operator_;
  Entry.UnixTimeMilliseconds_ = Record.UnixTime_ * MillisecondsPerSecond;
  Entry.Object_ = Name;
  Entry.ExpectedVersion_ = Record.ReplacedVersion_;
  Entry.Specification_ = Record.Specification_;
  Entry.Instance_ = Record.Instance_;
  Entry.Action_ = Record.Kind_ == ChangeKind::Delete ? ChangeAction::Delete
                                                     : ChangeAction::Apply;
  return Entry;
}

} // namespace laburnum
