#include "ObjectReport.h"
#include "Table.h"

#include <LibModel/JsonCodec.h>

namespace laburnum {

namespace {

std::string addressText(Endpoint const &Address) {
  return Address.Host_ + ":" + std::to_string(Address.Port_);
}

std::string nameIn(Service const &Value) { return Value.Name_.text(); }
std::string nameIn(ClientAccount const &Value) { return Value.Name_.text(); }
std::string nameIn(BackendServer const &Value) { return Value.Id_.text(); }

std::vector<std::string> headerOf(ObjectKind Kind) {
  if (Kind == ObjectKind::Service)
    return {"NAME",         "KIND",    "PRIORITY", "LATENCY-MS",
            "RETRY-BUDGET", "CENTRES", "SERVERS",  "VERSION"};
  if (Kind == ObjectKind::Account)
    return {"NAME",       "KEY",   "REQUESTS/S", "TOKENS/S",
            "CONCURRENT", "WORTH", "SERVICES",   "VERSION"};
  return {"ID",       "SERVICE", "CENTRE",      "ADDRESS", "FENCING",
          "CAPACITY", "PRICE/H", "RECLAIMABLE", "VERSION"};
}

std::vector<std::string> rowOf(Service const &Value) {
  auto const Target = std::chrono::duration_cast<std::chrono::milliseconds>(
      Value.LatencyTarget_);
  return {Value.Name_.text(),
          Value.Kind_ == ServiceKind::Model ? "model" : "plain",
          std::to_string(Value.Priority_),
          std::to_string(Target.count()),
          numberText(Value.RetryBudget_),
          namesText(Value.Placement_.DataCentres_),
          std::to_string(Value.Placement_.DesiredServers_)};
}

std::vector<std::string> rowOf(ClientAccount const &Value) {
  return {Value.Name_.text(),
          "..." + Value.KeyHint_,
          numberText(Value.Limits_.RequestsPerSecond_),
          numberText(Value.Limits_.TokensPerSecond_),
          std::to_string(Value.Limits_.ConcurrentRequests_),
          numberText(Value.Worth_),
          namesText(Value.Services_)};
}

std::vector<std::string> rowOf(BackendServer const &Value) {
  return {Value.Id_.text(),
          Value.Service_.text(),
          Value.DataCentre_.text(),
          addressText(Value.Endpoint_),
          Value.Fencing_ == FencingCheck::Honoured ? "honoured" : "ignored",
          std::to_string(Value.Capacity_),
          numberText(Value.PricePerHour_),
          Value.IsReclaimable_ ? "yes" : "no"};
}

nlohmann::json jsonOf(ObjectView const &View) {
  auto const Text = std::visit(
      [](auto const &Value) { return encodeJson(Value); }, View.Value_);
  auto Json = nlohmann::json::parse(Text, nullptr, false);
  Json.erase("key_digest");
  Json["version"] = View.Version_;
  return Json;
}

} // namespace

std::string nameOf(ObjectView const &View) {
  return std::visit([](auto const &Value) { return nameIn(Value); },
                    View.Value_);
}

Report reportObjects(ObjectKind Kind, std::vector<ObjectView> const &Views) {
  Table Rows(headerOf(Kind));
  auto Json = nlohmann::json::array();
  for (auto const &View : Views) {
    auto Row =
        std::visit([](auto const &Value) { return rowOf(Value); }, View.Value_);
    Row.push_back(std::to_string(View.Version_));
    Rows.add(std::move(Row));
    Json.push_back(jsonOf(View));
  }
  return {Rows.text(), Json};
}

Report reportObject(ObjectView const &View) {
  auto const Json = jsonOf(View);
  Table Rows({"FIELD", "VALUE"});
  for (auto const &[Key, Value] : Json.items())
    Rows.add(
        {Key, Value.is_string() ? Value.get<std::string>() : Value.dump()});
  return {Rows.text(), Json};
}

} // namespace laburnum
