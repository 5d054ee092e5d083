#include <LibControl/OriginHistoryCodec.h>

#include <LibCore/JsonDump.h>

#include <nlohmann/json.hpp>

#include <chrono>

namespace laburnum::detail {

namespace {

using nlohmann::json;

std::int64_t milliseconds(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

} // namespace

ObjectKey versionsKey() { return {HistoryCollection, "history"}; }
ObjectKey movesKey() { return {HistoryCollection, "moved-routes"}; }

std::string encode(VersionHistory const &History) {
  auto Services = json::object();
  for (auto const &[Service, Versions] : History)
    for (auto const &[Version, LeftAt] : Versions)
      Services[Service.text()][Version] =
          LeftAt ? json(milliseconds(*LeftAt)) : json();
  return dumpJson({{"services", Services}});
}

VersionHistory decodeVersions(std::string const &Text) {
  VersionHistory History;
  try {
    auto const Value = json::parse(Text);
    for (auto const &[Service, Versions] : Value.at("services").items())
      for (auto const &[Version, LeftAt] : Versions.items()) {
        auto &Entry = History[ServiceName(Service)][Version];
        if (!LeftAt.is_null())
          Entry = std::chrono::milliseconds(LeftAt.get<std::int64_t>());
      }
  } catch (json::exception const &) {
    return {};
  }
  return History;
}

std::string encode(MovedRoutes const &Moved) {
  auto Regions = json::array();
  for (auto const &[Region, At] : Moved.Regions_)
    Regions.push_back({{"host", Region.Host_},
                       {"path_prefix", Region.PathPrefix_},
                       {"moved_ms", milliseconds(At)}});
  json Value{{"configuration", Moved.ConfigurationVersion_},
             {"regions", Regions}};
  if (Moved.UnknownAt_)
    Value["unknown_ms"] = milliseconds(*Moved.UnknownAt_);
  return dumpJson(Value);
}

MovedRoutes decodeMoves(std::string const &Text) {
  MovedRoutes Moved;
  try {
    auto const Value = json::parse(Text);
    auto const &Configuration = Value.at("configuration");
    if (!Configuration.is_number_unsigned())
      return {};
    Moved.ConfigurationVersion_ = Configuration.get<std::uint64_t>();
    for (auto const &Region : Value.at("regions"))
      Moved.Regions_[{Region.at("host").get<std::string>(),
                      Region.at("path_prefix").get<std::string>()}] =
          std::chrono::milliseconds(Region.at("moved_ms").get<std::int64_t>());
    if (auto const At = Value.find("unknown_ms"); At != Value.end())
      Moved.UnknownAt_ = std::chrono::milliseconds(At->get<std::int64_t>());
  } catch (json::exception const &) {
    return {};
  }
  return Moved;
}

} // namespace laburnum::detail
