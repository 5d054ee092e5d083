#include "StandinRecords.h"

namespace laburnum::entry_process {

namespace {

using nlohmann::json;

json route(std::string const &Path, std::string const &Kind) {
  return {{"name", Path},        {"host", "desk.example"},
          {"path_prefix", Path}, {"route_kind", Kind},
          {"timeout_ms", 2000},  {"target_latency_ms", 400},
          {"service", "desk"},   {"max_attempts", 2}};
}

} // namespace

json configurationJson(std::uint64_t Version) {
  auto Stream = route("/stream/", "streaming");
  Stream["stream_resume"] = true;
  auto Routes =
      json::array({route("/read/", "idempotent"),
                   route("/order/", "non_idempotent"), std::move(Stream)});
  if (Version > 1)
    Routes.push_back(route("/new/", "idempotent"));
  // A route of its own for each version shows which one is in force.
  for (std::uint64_t Each = 2; Each <= Version; ++Each)
    Routes.push_back(route("/v" + std::to_string(Each) + '/', "idempotent"));
  return {{"version", Version},
          {"routes", Routes},
          {"services", json::array({{{"name", "desk"}}})},
          {"tenants", json::array({{{"name", "a"}, {"api_keys", {"k1"}}}})}};
}

json serverJson(Endpoint const &Address, std::string const &State,
                std::int64_t Born, std::uint64_t Sequence,
                std::string const &SoftwareVersion,
                std::string const &Service) {
  return {{"service", Service},
          {"address", Address.Host_ + ':' + std::to_string(Address.Port_)},
          {"zone", "a-1"},
          {"version", SoftwareVersion},
          {"slots", 8},
          {"state", State},
          {"born", Born},
          {"sequence", Sequence}};
}

} // namespace laburnum::entry_process
