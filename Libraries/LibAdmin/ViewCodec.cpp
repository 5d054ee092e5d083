#include <LibAdmin/FieldChecker.h>
#include <LibAdmin/ViewCodec.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <initializer_list>
#include <limits>

namespace laburnum {

namespace {

std::int64_t milliseconds(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

/// The value whose toString() is Text.
template <typename Choice>
std::optional<Choice> choiceNamed(std::string const &Text,
                                  std::initializer_list<Choice> All) {
  for (auto const Element : All)
    if (toString(Element) == Text)
      return Element;
  return std::nullopt;
}

proto::Severity encodeSeverity(Severity Level) {
  switch (Level) {
  case Severity::Ok:
    return proto::SEVERITY_OK;
  case Severity::Warning:
    return proto::SEVERITY_WARNING;
  case Severity::Critical:
    return proto::SEVERITY_CRITICAL;
  }
  return proto::SEVERITY_UNSPECIFIED;
}

std::optional<Severity> decodeSeverity(proto::Severity Level) {
  for (auto const Element :
       {Severity::Ok, Severity::Warning, Severity::Critical})
    if (encodeSeverity(Element) == Level)
      return Element;
  return std::nullopt;
}

/// Removes keys and digests as a second safeguard; the writer of an audit entry
/// should already have omitted them.
std::string withoutKeys(std::string const &Specification) {
  auto Json = nlohmann::json::parse(Specification, nullptr, false);
  if (!Json.is_object())
    return Specification;
  if (Json.erase("key_digest") + Json.erase("key") == 0)
    return Specification;
  return Json.dump();
}

} // namespace

std::string toString(Liveness State) {
  switch (State) {
  case Liveness::Live:
    return "live";
  case Liveness::Leaving:
    return "leaving";
  case Liveness::Gone:
    return "gone";
  }
  return "gone";
}

std::string toString(InstanceRole Role) {
  return Role == InstanceRole::Entry ? "entry" : "server";
}

std::string toString(ChangeAction Action) {
  return Action == ChangeAction::Apply ? "apply" : "delete";
}

std::string toString(Severity Level) {
  switch (Level) {
  case Severity::Ok:
    return "ok";
  case Severity::Warning:
    return "warning";
  case Severity::Critical:
    return "critical";
  }
  return "critical";
}

proto::Instance encode(InstanceView const &Value) {
  proto::Instance Message;
  Message.set_id(Value.Id_);
  Message.set_role(toString(Value.Role_));
  Message.set_data_centre(Value.DataCentre_.text());
  Message.set_liveness(toString(Value.Liveness_));
  Message.set_service(Value.Service_.text());
  Message.set_address(Value.Address_);
  Message.set_running(Value.Running_);
  return Message;
}

proto::InstanceConfiguration encode(ConfigurationInForce const &Value) {
  proto::InstanceConfiguration Message;
  Message.set_instance(Value.Instance_.text());
  Message.set_data_centre(Value.DataCentre_.text());
  Message.set_version(Value.Version_);
  Message.set_digest(Value.Digest_);
  Message.set_age_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      milliseconds(Value.Age_), 0, std::numeric_limits<std::uint32_t>::max())));
  return Message;
}

proto::AuditEntry encode(AuditEntry const &Value) {
  proto::AuditEntry Message;
  Message.set_change_id(Value.ChangeId_.text());
  Message.set_operator_name(Value.OperatorName_);
  Message.set_unix_time_ms(Value.UnixTimeMilliseconds_);
  Message.set_kind(encode(Value.Object_.Kind_));
  Message.set_name(Value.Object_.Name_);
  Message.set_expected_version(Value.ExpectedVersion_);
  Message.set_specification(withoutKeys(Value.Specification_));
  Message.set_action(toString(Value.Action_));
  Message.set_instance(Value.Instance_.text());
  return Message;
}

proto::Reclaim encode(ReclaimView const &Value) {
  proto::Reclaim Message;
  Message.set_instance(Value.Instance_);
  Message.set_data_centre(Value.DataCentre_.text());
  Message.set_remaining_ms(milliseconds(Value.Remaining_));
  Message.set_source(Value.Source_);
  Message.set_streams_moved(Value.StreamsMoved_);
  return Message;
}

proto::Metric encode(MetricSnapshot const &Value) {
  proto::Metric Message;
  Message.set_name(Value.Name_);
  Message.set_count(Value.Count_);
  Message.set_sum(Value.Sum_);
  Message.set_p50(Value.P50_);
  Message.set_p95(Value.P95_);
  Message.set_p99(Value.P99_);
  Message.set_maximum(Value.Maximum_);
  Message.set_unit(Value.Unit_);
  return Message;
}

proto::ReadStatusReply encode(StatusView const &Value) {
  proto::ReadStatusReply Message;
  Message.set_instance(Value.Instance_.text());
  Message.set_overall(encodeSeverity(Value.Overall_));
  for (auto const &Element : Value.Findings_) {
    auto &Finding = *Message.add_findings();
    Finding.set_severity(encodeSeverity(Element.Severity_));
    Finding.set_what(Element.What_);
    Finding.set_remedy(Element.Remedy_);
  }
  Message.set_entry_instances(Value.EntryInstances_);
  Message.set_servers_live(Value.ServersLive_);
  Message.set_servers_leaving(Value.ServersLeaving_);
  Message.set_services(Value.Services_);
  Message.set_accounts(Value.Accounts_);
  Message.set_configuration_version(Value.ConfigurationVersion_);
  Message.set_platform_reachable(Value.Platform_ ==
                                 PlatformConnectivity::Reachable);
  return Message;
}

Result<InstanceView> decode(proto::Instance const &Message) {
  FieldChecker Checker("instance");
  InstanceView Value;
  Value.Id_ = Checker.nonEmpty("id", Message.id());
  Value.Role_ = Checker.choice(
      "role",
      choiceNamed(Message.role(), {InstanceRole::Entry, InstanceRole::Server}),
      "entry or server");
  Value.DataCentre_ = DataCentre(Message.data_centre());
  Value.Liveness_ = Checker.choice(
      "liveness",
      choiceNamed(Message.liveness(),
                  {Liveness::Live, Liveness::Leaving, Liveness::Gone}),
      "live, leaving or gone");
  Value.Service_ = ServiceName(Message.service());
  Value.Address_ = Message.address();
  Value.Running_ = Message.running();
  return Checker.finish(Value);
}

Result<ConfigurationInForce>
decode(proto::InstanceConfiguration const &Message) {
  return ConfigurationInForce{InstanceId(Message.instance()),
                              DataCentre(Message.data_centre()),
                              Message.version(), Message.digest(),
                              std::chrono::milliseconds(Message.age_ms())};
}

Result<AuditEntry> decode(proto::AuditEntry const &Message) {
  FieldChecker Checker("audit_entry");
  AuditEntry Value;
  Value.ChangeId_ = ChangeId(Message.change_id());
  Value.OperatorName_ = Message.operator_name();
  Value.UnixTimeMilliseconds_ = Message.unix_time_ms();
  Value.Object_.Kind_ = Checker.choice("kind", decode(Message.kind()),
                                       "service, account or server");
  Value.Object_.Name_ = Message.name();
  Value.ExpectedVersion_ = Message.expected_version();
  Value.Specification_ = Message.specification();
  Value.Action_ =
      Checker.choice("action",
                     choiceNamed(Message.action(),
                                 {ChangeAction::Apply, ChangeAction::Delete}),
                     "apply or delete");
  Value.Instance_ = InstanceId(Message.instance());
  return Checker.finish(Value);
}

Result<ReclaimView> decode(proto::Reclaim const &Message) {
  return ReclaimView{Message.instance(), DataCentre(Message.data_centre()),
                     std::chrono::milliseconds(Message.remaining_ms()),
                     Message.source(), Message.streams_moved()};
}

Result<MetricSnapshot> decode(proto::Metric const &Message) {
  return MetricSnapshot{Message.name(), Message.unit(),   Message.count(),
                        Message.sum(),  Message.p50(),    Message.p95(),
                        Message.p99(),  Message.maximum()};
}

Result<StatusView> decode(proto::ReadStatusReply const &Message) {
  FieldChecker Checker("status");
  StatusView Value;
  Value.Instance_ = InstanceId(Message.instance());
  Value.Overall_ = Checker.choice("overall", decodeSeverity(Message.overall()),
                                  "ok, warning or critical");
  for (auto const &Element : Message.findings())
    Value.Findings_.push_back(
        {Checker.choice("findings.severity", decodeSeverity(Element.severity()),
                        "ok, warning or critical"),
         Element.what(), Element.remedy()});
  Value.EntryInstances_ = Message.entry_instances();
  Value.ServersLive_ = Message.servers_live();
  Value.ServersLeaving_ = Message.servers_leaving();
  Value.Services_ = Message.services();
  Value.Accounts_ = Message.accounts();
  Value.ConfigurationVersion_ = Message.configuration_version();
  Value.Platform_ = Message.platform_reachable()
                        ? PlatformConnectivity::Reachable
                        : PlatformConnectivity::Unreachable;
  return Checker.finish(Value);
}

} // namespace laburnum
