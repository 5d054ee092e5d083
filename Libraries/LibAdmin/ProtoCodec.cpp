#include <LibAdmin/FieldChecker.h>
#include <LibAdmin/ProtoCodec.h>

#include <limits>

namespace laburnum {

namespace {

constexpr double MaxPerSecond = 1e9;
constexpr double MaxWeight = 1e9;
constexpr std::int64_t MaxPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::int64_t MaxCount = std::numeric_limits<std::uint32_t>::max();
constexpr std::int64_t MaxPriority = 1000;
constexpr std::int64_t MaxLatencyTargetMilliseconds = 3'600'000;
constexpr std::int64_t MaxDrainMilliseconds = 86'400'000;
constexpr std::uint32_t DefaultAuditEntries = 100;
constexpr std::int64_t MaxAuditEntries = 1000;
constexpr std::size_t HintCharacters = 4;

std::int64_t milliseconds(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

std::optional<ServiceKind> serviceKind(proto::ServiceKind Kind) {
  if (Kind == proto::SERVICE_KIND_MODEL)
    return ServiceKind::Model;
  if (Kind == proto::SERVICE_KIND_PLAIN)
    return ServiceKind::Plain;
  return std::nullopt;
}

std::optional<FencingCheck> fencingCheck(proto::FencingCheck Fencing) {
  if (Fencing == proto::FENCING_CHECK_IGNORED)
    return FencingCheck::Ignored;
  if (Fencing == proto::FENCING_CHECK_HONOURED)
    return FencingCheck::Honoured;
  return std::nullopt;
}

Placement decodePlacement(proto::Placement const &Message,
                          FieldChecker &Checker) {
  Placement Value;
  for (auto const &Name : Message.data_centres())
    Value.DataCentres_.emplace_back(
        Checker.name("placement.data_centres", Name));
  Value.DesiredServers_ = Message.desired_servers();
  Value.OnDemandShare_ = Checker.number("placement.on_demand_share",
                                        Message.on_demand_share(), 0, 1);
  return Value;
}

std::vector<CallPattern> decodeCalls(proto::Service const &Message,
                                     FieldChecker &Checker) {
  std::vector<CallPattern> Calls;
  for (auto const &Call : Message.non_idempotent_calls()) {
    if (!Call.path_prefix().starts_with('/'))
      Checker.fail("non_idempotent_calls.path_prefix",
                   "a path that starts with '/'");
    Calls.push_back({Call.method(), Call.path_prefix()});
  }
  return Calls;
}

AccountLimits decodeLimits(proto::AccountLimits const &Message,
                           FieldChecker &Checker) {
  return {Checker.number("limits.requests_per_second",
                         Message.requests_per_second(), 0, MaxPerSecond),
          Checker.number("limits.tokens_per_second",
                         Message.tokens_per_second(), 0, MaxPerSecond),
          Message.concurrent_requests()};
}

std::vector<ServiceName> decodeServices(proto::Account const &Message,
                                        FieldChecker &Checker) {
  std::vector<ServiceName> Services;
  for (auto const &Name : Message.services())
    Services.emplace_back(Checker.name("services", Name));
  return Services;
}

std::optional<AccountKey> decodeKey(std::string const &Key,
                                    FieldChecker &Checker) {
  if (Key.empty())
    return std::nullopt;
  if (Key.size() < MinimumAccountKeyCharacters) {
    Checker.fail("key", "at least 24 characters, or none to keep the key");
    return std::nullopt;
  }
  return AccountKey{keyDigest(Key), Key.substr(Key.size() - HintCharacters)};
}

/// Encodes the fields of an account that requests and replies have in common.
template <typename Value> proto::Account encodeAccount(Value const &Account) {
  proto::Account Message;
  Message.set_name(Account.Name_.text());
  auto &Limits = *Message.mutable_limits();
  Limits.set_requests_per_second(Account.Limits_.RequestsPerSecond_);
  Limits.set_tokens_per_second(Account.Limits_.TokensPerSecond_);
  Limits.set_concurrent_requests(Account.Limits_.ConcurrentRequests_);
  Message.set_worth(Account.Worth_);
  for (auto const &Service : Account.Services_)
    Message.add_services(Service.text());
  return Message;
}

template <typename Value>
Result<ObjectView> viewOf(Version At, Result<Value> Decoded) {
  if (isError(Decoded))
    return errorOf(Decoded);
  return ObjectView{At, takeValue(std::move(Decoded))};
}

} // namespace

proto::Service encode(Service const &Value) {
  proto::Service Message;
  Message.set_name(Value.Name_.text());
  Message.set_kind(Value.Kind_ == ServiceKind::Model
                       ? proto::SERVICE_KIND_MODEL
                       : proto::SERVICE_KIND_PLAIN);
  auto &Placement = *Message.mutable_placement();
  for (auto const &Centre : Value.Placement_.DataCentres_)
    Placement.add_data_centres(Centre.text());
  Placement.set_desired_servers(Value.Placement_.DesiredServers_);
  Placement.set_on_demand_share(Value.Placement_.OnDemandShare_);
  Message.set_priority(Value.Priority_);
  Message.set_latency_target_ms(
      static_cast<std::uint32_t>(milliseconds(Value.LatencyTarget_)));
  for (auto const &Call : Value.NonIdempotentCalls_) {
    auto &Pattern = *Message.add_non_idempotent_calls();
    Pattern.set_method(Call.Method_);
    Pattern.set_path_prefix(Call.PathPrefix_);
  }
  Message.mutable_weights()->set_recomputed_token(
      Value.Weights_.RecomputedToken_);
  Message.mutable_weights()->set_cost(Value.Weights_.Cost_);
  Message.set_retry_budget(Value.RetryBudget_);
  return Message;
}

proto::Account encode(ClientAccount const &Value) {
  auto Message = encodeAccount(Value);
  Message.set_key_hint(Value.KeyHint_);
  return Message;
}

proto::Account encode(AccountInput const &Value) {
  auto Message = encodeAccount(Value);
  Message.set_key(Value.Key_.value_or(""));
  return Message;
}

proto::Server encode(BackendServer const &Value) {
  proto::Server Message;
  Message.set_id(Value.Id_.text());
  Message.set_service(Value.Service_.text());
  Message.set_data_centre(Value.DataCentre_.text());
  Message.set_host(Value.Endpoint_.Host_);
  Message.set_port(Value.Endpoint_.Port_);
  Message.set_fencing(Value.Fencing_ == FencingCheck::Honoured
                          ? proto::FENCING_CHECK_HONOURED
                          : proto::FENCING_CHECK_IGNORED);
  Message.set_capacity(Value.Capacity_);
  Message.set_price_per_hour(Value.PricePerHour_);
  Message.set_reclaimable(Value.IsReclaimable_);
  return Message;
}

proto::Object encode(ObjectView const &Value) {
  proto::Object Message;
  Message.set_version(Value.Version_);
  if (auto const *OfferedService = std::get_if<Service>(&Value.Value_))
    *Message.mutable_service() = encode(*OfferedService);
  if (auto const *Account = std::get_if<ClientAccount>(&Value.Value_))
    *Message.mutable_account() = encode(*Account);
  if (auto const *Server = std::get_if<BackendServer>(&Value.Value_))
    *Message.mutable_server() = encode(*Server);
  return Message;
}

proto::ObjectKind encode(ObjectKind Kind) {
  switch (Kind) {
  case ObjectKind::Service:
    return proto::OBJECT_KIND_SERVICE;
  case ObjectKind::Account:
    return proto::OBJECT_KIND_ACCOUNT;
  case ObjectKind::Server:
    return proto::OBJECT_KIND_SERVER;
  }
  return proto::OBJECT_KIND_UNSPECIFIED;
}

proto::Change encode(OperatorChange const &Value) {
  proto::Change Message;
  Message.set_change_id(Value.Id_.text());
  Message.set_expected_version(Value.Expected_);
  return Message;
}

proto::ListObjectsRequest encode(ObjectQuery const &Value) {
  proto::ListObjectsRequest Message;
  Message.set_kind(encode(Value.Kind_));
  Message.set_name(Value.Name_);
  return Message;
}

proto::ListAuditTrailRequest encode(AuditQuery const &Value) {
  proto::ListAuditTrailRequest Message;
  if (Value.Kind_)
    Message.set_kind(encode(*Value.Kind_));
  Message.set_name(Value.Name_);
  Message.set_limit(Value.Limit_);
  return Message;
}

proto::DrainRequest encode(DrainOrder const &Value) {
  proto::DrainRequest Message;
  Message.set_name(Value.Server_.text());
  Message.set_within_ms(
      static_cast<std::uint32_t>(milliseconds(Value.Within_)));
  return Message;
}

Result<Service> decode(proto::Service const &Message) {
  FieldChecker Checker("service");
  Service Value;
  Value.Name_ = ServiceName(Checker.name("name", Message.name()));
  Value.Kind_ = Checker.choice("kind", serviceKind(Message.kind()),
                               "the kind model or plain");
  Value.Placement_ = decodePlacement(Message.placement(), Checker);
  Value.Priority_ = static_cast<std::int32_t>(Checker.integer(
      "priority", Message.priority(), -MaxPriority, MaxPriority));
  Value.LatencyTarget_ = std::chrono::milliseconds(
      Checker.integer("latency_target_ms", Message.latency_target_ms(), 1,
                      MaxLatencyTargetMilliseconds));
  Value.NonIdempotentCalls_ = decodeCalls(Message, Checker);
  Value.Weights_.RecomputedToken_ =
      Checker.number("weights.recomputed_token",
                     Message.weights().recomputed_token(), 0, MaxWeight);
  Value.Weights_.Cost_ =
      Checker.number("weights.cost", Message.weights().cost(), 0, MaxWeight);
  Value.RetryBudget_ =
      Checker.number("retry_budget", Message.retry_budget(), 0, 1);
  return Checker.finish(Value);
}

Result<BackendServer> decode(proto::Server const &Message) {
  FieldChecker Checker("server");
  BackendServer Value;
  Value.Id_ = ServerId(Checker.name("id", Message.id()));
  Value.Service_ = ServiceName(Checker.name("service", Message.service()));
  Value.DataCentre_ =
      DataCentre(Checker.name("data_centre", Message.data_centre()));
  Value.Endpoint_.Host_ = Checker.nonEmpty("host", Message.host());
  Value.Endpoint_.Port_ = static_cast<std::uint16_t>(
      Checker.integer("port", Message.port(), 1, MaxPort));
  Value.Fencing_ = Checker.choice("fencing", fencingCheck(Message.fencing()),
                                  "ignored or honoured");
  Value.Capacity_ = static_cast<std::uint32_t>(
      Checker.integer("capacity", Message.capacity(), 1, MaxCount));
  Value.PricePerHour_ =
      Checker.number("price_per_hour", Message.price_per_hour(), 0, MaxWeight);
  Value.IsReclaimable_ = Message.reclaimable();
  return Checker.finish(Value);
}

Result<AccountChange> decode(proto::Account const &Message) {
  FieldChecker Checker("account");
  AccountChange Value;
  Value.Name_ = AccountName(Checker.name("name", Message.name()));
  Value.NewKey_ = decodeKey(Message.key(), Checker);
  Value.Limits_ = decodeLimits(Message.limits(), Checker);
  Value.Worth_ = Checker.number("worth", Message.worth(), 0, MaxWeight);
  Value.Services_ = decodeServices(Message, Checker);
  return Checker.finish(Value);
}

Result<ClientAccount> decodeView(proto::Account const &Message) {
  FieldChecker Checker("account");
  ClientAccount Value;
  Value.Name_ = AccountName(Checker.name("name", Message.name()));
  Value.KeyHint_ = Message.key_hint();
  Value.Limits_ = decodeLimits(Message.limits(), Checker);
  Value.Worth_ = Checker.number("worth", Message.worth(), 0, MaxWeight);
  Value.Services_ = decodeServices(Message, Checker);
  return Checker.finish(Value);
}

Result<ObjectView> decode(proto::Object const &Message) {
  switch (Message.value_case()) {
  case proto::Object::kService:
    return viewOf(Message.version(), decode(Message.service()));
  case proto::Object::kAccount:
    return viewOf(Message.version(), decodeView(Message.account()));
  case proto::Object::kServer:
    return viewOf(Message.version(), decode(Message.server()));
  case proto::Object::VALUE_NOT_SET:
    break;
  }
  FieldChecker Checker("object");
  Checker.fail("value", "a service, an account or a server");
  return Checker.finish(ObjectView());
}

std::optional<ObjectKind> decode(proto::ObjectKind Kind) {
  for (auto const Candidate :
       {ObjectKind::Service, ObjectKind::Account, ObjectKind::Server})
    if (encode(Candidate) == Kind)
      return Candidate;
  return std::nullopt;
}

Result<OperatorChange> decode(proto::Change const &Message) {
  FieldChecker Checker("change");
  OperatorChange Value;
  Value.Id_ = ChangeId(Checker.name("change_id", Message.change_id()));
  Value.Expected_ = Message.expected_version();
  return Checker.finish(Value);
}

Result<ObjectName> decode(proto::DeleteRequest const &Message) {
  FieldChecker Checker("delete");
  ObjectName Value;
  Value.Kind_ = Checker.choice("kind", decode(Message.kind()),
                               "the kind service, account or server");
  Value.Name_ = Checker.name("name", Message.name());
  return Checker.finish(Value);
}

Result<ObjectQuery> decode(proto::ListObjectsRequest const &Message) {
  FieldChecker Checker("list_objects");
  ObjectQuery Value;
  Value.Kind_ = Checker.choice("kind", decode(Message.kind()),
                               "the kind service, account or server");
  Value.Name_ = Checker.optionalName("name", Message.name());
  return Checker.finish(Value);
}

Result<AuditQuery> decode(proto::ListAuditTrailRequest const &Message) {
  FieldChecker Checker("list_audit_trail");
  AuditQuery Value;
  Value.Kind_ = decode(Message.kind());
  if (!Value.Kind_ && Message.kind() != proto::OBJECT_KIND_UNSPECIFIED)
    Checker.fail("kind", "the kind service, account, server or none");
  Value.Name_ = Checker.optionalName("name", Message.name());
  auto const Limit = static_cast<std::uint32_t>(
      Checker.integer("limit", Message.limit(), 0, MaxAuditEntries));
  Value.Limit_ = Limit == 0 ? DefaultAuditEntries : Limit;
  return Checker.finish(Value);
}

Result<DrainOrder> decode(proto::DrainRequest const &Message) {
  FieldChecker Checker("drain");
  DrainOrder Value;
  Value.Server_ = ServerId(Checker.optionalName("name", Message.name()));
  Value.Within_ = std::chrono::milliseconds(Checker.integer(
      "within_ms", Message.within_ms(), 0, MaxDrainMilliseconds));
  return Checker.finish(Value);
}

} // namespace laburnum
