#include <PlatformStandin/StandinCodec.h>

#include <LibPlatform/PlatformCodec.h>

namespace laburnum {

namespace {

using Json = nlohmann::json;

template <typename Read>
auto decode(std::string const &Text, Read const &Take)
    -> std::optional<decltype(Take(std::declval<Json const &>()))> {
  try {
    return Take(Json::parse(Text));
  } catch (Json::exception const &) {
    return std::nullopt;
  }
}

std::string textOf(Endpoint const &Address) {
  return Address.Host_ + ":" + std::to_string(Address.Port_);
}

std::string textOf(Liveness State) {
  return State == Liveness::Live ? "live" : "leaving";
}

Json encode(std::vector<StoredObject> const &Objects) {
  auto Items = Json::array();
  for (auto const &Object : Objects)
    Items.push_back(laburnum::encode(Object));
  return Items;
}

Json encode(ListedEntryInstance const &Listed) {
  auto const &Instance = Listed.Instance_;
  return {{"id", Instance.Id_.text()},
          {"data_centre", Instance.DataCentre_.text()},
          {"callers", textOf(Instance.Callers_)},
          {"peers", textOf(Instance.Peers_)},
          {"operators", textOf(Instance.Operators_)},
          {"state", textOf(Listed.Liveness_)}};
}

std::chrono::milliseconds millisecondsOf(Json const &Number) {
  return std::chrono::milliseconds(Number.get<std::int64_t>());
}

} // namespace

Json encode(StoredObject const &Object) {
  return {{"collection", Object.Key_.Collection_},
          {"name", Object.Key_.Name_},
          {"version", Object.Version_},
          {"value", Object.Value_}};
}

Json encode(ObjectList const &List) {
  return {{"version", List.StoreVersion_}, {"objects", encode(List.Objects_)}};
}

Json encode(WatchBatch const &Batch) {
  return {{"version", Batch.StoreVersion_},
          {"gap", Batch.Continuity_ == WatchContinuity::Gap},
          {"objects", encode(Batch.Objects_)}};
}

Json encode(InstanceListing const &Listing) {
  auto Entries = Json::array();
  for (auto const &Listed : Listing.EntryInstances_)
    Entries.push_back(encode(Listed));
  auto Servers = Json::array();
  for (auto const &Listed : Listing.Servers_)
    Servers.push_back(
        {{"id", Listed.Id_.text()}, {"state", textOf(Listed.Liveness_)}});
  return {{"entry", Entries}, {"servers", Servers}};
}

Json encode(NoticeBatch const &Batch) {
  auto Notices = Json::array();
  for (auto const &Notice : Batch.Notices_) {
    auto const Remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Notice.Remaining_);
    Notices.push_back({{"instance", Notice.InstanceName_},
                       {"data_centre", Notice.DataCentre_.text()},
                       {"remaining_ms", Remaining.count()}});
  }
  return {{"next", Batch.Next_}, {"notices", Notices}};
}

std::optional<std::string> decodePutValue(std::string const &Text) {
  return decode(Text, [](Json const &Object) {
    return Object.at("value").get<std::string>();
  });
}

std::optional<ListedEntryInstance> decodeEntry(std::string const &Text) {
  auto const Parsed = Json::parse(Text, nullptr, false);
  Json const Listing = {{"entry", Json::array({Parsed})},
                        {"servers", Json::array()}};
  auto const Read = decodeInstanceListing(Listing.dump());
  if (!Read)
    return std::nullopt;
  return Read->EntryInstances_.front();
}

std::optional<StartOrder> decodeStart(std::string const &Text) {
  return decode(Text, [](Json const &Object) {
    auto const Requested = Object.at("tenure") == "on_demand"
                               ? CapacityType::OnDemand
                               : CapacityType::Reclaimable;
    return StartOrder{Object.at("order_id"), ServiceName(Object.at("service")),
                      DataCentre(Object.at("data_centre")), Requested};
  });
}

std::optional<ServerId> decodeStop(std::string const &Text) {
  return decodeServerId(Text);
}

std::optional<FaultRequest> decodeFault(std::string const &Text) {
  return decode(Text, [](Json const &Object) {
    std::chrono::milliseconds const Delay(
        Object.value("delay_ms", std::int64_t(0)));
    return FaultRequest{Object.at("kind"), Object.value("on", true), Delay,
                        Object.value("count", std::uint32_t(0))};
  });
}

std::optional<ReclaimNotice> decodeReclaim(std::string const &Text) {
  return decode(Text, [](Json const &Object) {
    return ReclaimNotice{Object.at("instance"),
                         DataCentre(Object.at("data_centre")),
                         millisecondsOf(Object.at("remaining_ms"))};
  });
}

} // namespace laburnum
