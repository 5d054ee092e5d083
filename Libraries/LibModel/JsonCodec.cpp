#include <LibModel/JsonCodec.h>

#include <LibModel/JsonReader.h>

#include <limits>

namespace laburnum {

namespace {

using Json = nlohmann::json;

constexpr double MaxPerSecond = 1e9;
constexpr double MaxWeight = 1e9;
constexpr std::int64_t MaxCount = std::numeric_limits<std::uint32_t>::max();
constexpr std::int64_t MaxPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::int64_t MaxPriority = 1000;
constexpr std::int64_t MaxTargetMilliseconds = 3'600'000;

std::string kindName(ServiceKind Kind) {
  return Kind == ServiceKind::Model ? "model" : "plain";
}

std::string fencingName(FencingCheck Fencing) {
  return Fencing == FencingCheck::Honoured ? "honoured" : "ignored";
}

template <typename Tag>
std::vector<std::string> textsOf(std::vector<Identifier<Tag>> const &Names) {
  std::vector<std::string> Texts;
  for (auto const &Name : Names)
    Texts.push_back(Name.text());
  return Texts;
}

template <typename Name>
std::vector<Name> namesOf(std::vector<std::string> const &Texts) {
  std::vector<Name> Names;
  for (auto const &Text : Texts)
    Names.push_back(Name(Text));
  return Names;
}

std::vector<CallPattern> readPatterns(JsonReader &Reader) {
  std::vector<CallPattern> Patterns;
  auto const *Items = Reader.array("non_idempotent_calls");
  if (!Items)
    return Patterns;
  for (auto const &Item : *Items) {
    JsonReader Nested(Item, "a non-idempotent call");
    auto Method = Nested.text("method");
    auto Prefix = Nested.text("path_prefix");
    Reader.takeError(std::move(Nested));
    Patterns.push_back({std::move(Method), std::move(Prefix)});
  }
  return Patterns;
}

Placement readPlacement(JsonReader &Reader) {
  auto const *Object = Reader.object("placement");
  if (!Object)
    return {};
  JsonReader Nested(*Object, "a placement");
  Placement Read;
  Read.DataCentres_ = namesOf<DataCentre>(Nested.texts("data_centres"));
  Read.DesiredServers_ = static_cast<std::uint32_t>(
      Nested.integer("desired_servers", 0, MaxCount));
  Read.OnDemandShare_ = Nested.number("on_demand_share", 0, 1);
  Reader.takeError(std::move(Nested));
  return Read;
}

OutcomeWeights readWeights(JsonReader &Reader) {
  auto const *Object = Reader.object("weights");
  if (!Object)
    return {};
  JsonReader Nested(*Object, "weights");
  OutcomeWeights Read;
  Read.RecomputedToken_ = Nested.number("recomputed_token", 0, MaxWeight);
  Read.Cost_ = Nested.number("cost", 0, MaxWeight);
  Reader.takeError(std::move(Nested));
  return Read;
}

AccountLimits readLimits(JsonReader &Reader) {
  auto const *Object = Reader.object("limits");
  if (!Object)
    return {};
  JsonReader Nested(*Object, "limits");
  AccountLimits Read;
  Read.RequestsPerSecond_ =
      Nested.number("requests_per_second", 0, MaxPerSecond);
  Read.TokensPerSecond_ = Nested.number("tokens_per_second", 0, MaxPerSecond);
  Read.ConcurrentRequests_ = static_cast<std::uint32_t>(
      Nested.integer("concurrent_requests", 0, MaxCount));
  Reader.takeError(std::move(Nested));
  return Read;
}

Service readService(JsonReader &Reader) {
  Service Read;
  Read.Name_ = ServiceName(Reader.text("name"));
  auto const Kind = Reader.text("kind");
  if (Kind != "model" && Kind != "plain")
    Reader.fail("kind", "\"model\" or \"plain\"");
  Read.Kind_ = Kind == "model" ? ServiceKind::Model : ServiceKind::Plain;
  Read.Placement_ = readPlacement(Reader);
  Read.Priority_ = static_cast<std::int32_t>(
      Reader.integer("priority", -MaxPriority, MaxPriority));
  Read.LatencyTarget_ = std::chrono::milliseconds(
      Reader.integer("latency_target_ms", 1, MaxTargetMilliseconds));
  Read.NonIdempotentCalls_ = readPatterns(Reader);
  Read.Weights_ = readWeights(Reader);
  Read.RetryBudget_ = Reader.number("retry_budget", 0, 1);
  if (Read.Name_.isEmpty())
    Reader.fail("name", "a name of at least one character");
  return Read;
}

ClientAccount readAccount(JsonReader &Reader) {
  ClientAccount Read;
  Read.Name_ = AccountName(Reader.text("name"));
  Read.KeyDigest_ = Reader.text("key_digest");
  Read.KeyHint_ = Reader.text("key_hint");
  Read.Limits_ = readLimits(Reader);
  Read.Worth_ = Reader.number("worth", 0, MaxWeight);
  Read.Services_ = namesOf<ServiceName>(Reader.texts("services"));
  if (Read.Name_.isEmpty())
    Reader.fail("name", "a name of at least one character");
  if (Read.KeyDigest_.empty())
    Reader.fail("key_digest", "the digest of the account's key");
  return Read;
}

BackendServer readServer(JsonReader &Reader) {
  BackendServer Read;
  Read.Id_ = ServerId(Reader.text("id"));
  Read.Service_ = ServiceName(Reader.text("service"));
  Read.DataCentre_ = DataCentre(Reader.text("data_centre"));
  Read.Endpoint_.Host_ = Reader.text("host");
  Read.Endpoint_.Port_ =
      static_cast<std::uint16_t>(Reader.integer("port", 1, MaxPort));
  auto const Fencing = Reader.text("fencing");
  if (Fencing != "honoured" && Fencing != "ignored")
    Reader.fail("fencing", "\"honoured\" or \"ignored\"");
  Read.Fencing_ =
      Fencing == "honoured" ? FencingCheck::Honoured : FencingCheck::Ignored;
  Read.Capacity_ =
      static_cast<std::uint32_t>(Reader.integer("capacity", 1, MaxCount));
  Read.PricePerHour_ = Reader.number("price_per_hour", 0, MaxWeight);
  Read.IsReclaimable_ = Reader.boolean("reclaimable");
  if (Read.Id_.isEmpty() || Read.Service_.isEmpty())
    Reader.fail("id and service", "names of at least one character");
  return Read;
}

/// Parses the text and decodes its object with Read. Fails on invalid JSON and
/// on any error that the reader recorded.
template <typename Value>
Result<Value> decode(std::string const &Text, std::string const &What,
                     Value (*Read)(JsonReader &)) {
  auto const Parsed = Json::parse(Text, nullptr, false);
  if (Parsed.is_discarded())
    return Error{ErrorKind::InvalidArgument, What + " is not JSON",
                 "send valid JSON (RFC 8259)"};
  JsonReader Reader(Parsed, What);
  auto Decoded = Read(Reader);
  if (auto Failure = Reader.finish())
    return *Failure;
  return Decoded;
}

} // namespace

std::string encodeJson(Service const &Value) {
  Json Patterns = Json::array();
  for (auto const &Pattern : Value.NonIdempotentCalls_)
    Patterns.push_back(
        {{"method", Pattern.Method_}, {"path_prefix", Pattern.PathPrefix_}});
  auto const Target = std::chrono::duration_cast<std::chrono::milliseconds>(
      Value.LatencyTarget_);
  Json const Encoded = {
      {"name", Value.Name_.text()},
      {"kind", kindName(Value.Kind_)},
      {"placement",
       {{"data_centres", textsOf(Value.Placement_.DataCentres_)},
        {"desired_servers", Value.Placement_.DesiredServers_},
        {"on_demand_share", Value.Placement_.OnDemandShare_}}},
      {"priority", Value.Priority_},
      {"latency_target_ms", Target.count()},
      {"non_idempotent_calls", Patterns},
      {"weights",
       {{"recomputed_token", Value.Weights_.RecomputedToken_},
        {"cost", Value.Weights_.Cost_}}},
      {"retry_budget", Value.RetryBudget_}};
  return Encoded.dump();
}

std::string encodeJson(ClientAccount const &Value) {
  Json const Encoded = {
      {"name", Value.Name_.text()},
      {"key_digest", Value.KeyDigest_},
      {"key_hint", Value.KeyHint_},
      {"limits",
       {{"requests_per_second", Value.Limits_.RequestsPerSecond_},
        {"tokens_per_second", Value.Limits_.TokensPerSecond_},
        {"concurrent_requests", Value.Limits_.ConcurrentRequests_}}},
      {"worth", Value.Worth_},
      {"services", textsOf(Value.Services_)}};
  return Encoded.dump();
}

std::string encodeJson(BackendServer const &Value) {
  Json const Encoded = {{"id", Value.Id_.text()},
                        {"service", Value.Service_.text()},
                        {"data_centre", Value.DataCentre_.text()},
                        {"host", Value.Endpoint_.Host_},
                        {"port", Value.Endpoint_.Port_},
                        {"fencing", fencingName(Value.Fencing_)},
                        {"capacity", Value.Capacity_},
                        {"price_per_hour", Value.PricePerHour_},
                        {"reclaimable", Value.IsReclaimable_}};
  return Encoded.dump();
}

Result<Service> decodeService(std::string const &Json) {
  return decode<Service>(Json, "a service", readService);
}

Result<ClientAccount> decodeClientAccount(std::string const &Json) {
  return decode<ClientAccount>(Json, "a client account", readAccount);
}

Result<BackendServer> decodeBackendServer(std::string const &Json) {
  return decode<BackendServer>(Json, "a backend server", readServer);
}

} // namespace laburnum
