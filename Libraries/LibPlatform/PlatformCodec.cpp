#include <LibPlatform/PlatformCodec.h>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace laburnum {

namespace {

using Json = nlohmann::json;

/// Parses the text and applies Extract to it. The library throws on missing
/// keys and wrong types; these exceptions are caught here.
template <typename Extractor>
auto decode(std::string const &Text, Extractor const &Extract)
    -> std::optional<decltype(Extract(std::declval<Json const &>()))> {
  try {
    return Extract(Json::parse(Text));
  } catch (Json::exception const &) {
    return std::nullopt;
  }
}

StoredObject objectOf(Json const &Item, std::string const &Collection) {
  return {{Item.value("collection", Collection), Item.at("name")},
          Item.at("version").get<Version>(),
          Item.at("value")};
}

std::vector<StoredObject> objectsOf(Json const &Items,
                                    std::string const &Collection) {
  std::vector<StoredObject> Objects;
  for (auto const &Item : Items)
    Objects.push_back(objectOf(Item, Collection));
  return Objects;
}

Json::other_error malformed(std::string const &What) {
  return Json::other_error::create(501, What, nullptr);
}

Endpoint endpointOf(std::string const &Text) {
  auto const Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    throw malformed("an endpoint without a port");
  Endpoint Address{Text.substr(0, Colon), 0};
  auto const *End = Text.data() + Text.size();
  auto const Parsed = std::from_chars(&Text[Colon + 1], End, Address.Port_);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    throw malformed("a port that is not a number");
  return Address;
}

Liveness livenessOf(std::string const &Text) {
  if (Text == "live")
    return Liveness::Live;
  if (Text == "leaving")
    return Liveness::Leaving;
  throw malformed("a state that is not known");
}

ListedEntryInstance entryOf(Json const &Item) {
  EntryInstance const Instance{
      InstanceId(Item.at("id")), DataCentre(Item.at("data_centre")),
      endpointOf(Item.at("callers")), endpointOf(Item.at("peers")),
      endpointOf(Item.at("operators"))};
  return {Instance, livenessOf(Item.at("state"))};
}

InstanceListing listingOf(Json const &Object) {
  InstanceListing Listing;
  for (auto const &Item : Object.at("entry"))
    Listing.EntryInstances_.push_back(entryOf(Item));
  for (auto const &Item : Object.at("servers"))
    Listing.Servers_.push_back(
        {ServerId(Item.at("id")), livenessOf(Item.at("state"))});
  return Listing;
}

NoticeBatch noticesOf(Json const &Object) {
  NoticeBatch Batch{Object.at("next").get<std::uint64_t>(), {}};
  for (auto const &Item : Object.at("notices")) {
    std::chrono::milliseconds const Remaining(
        Item.at("remaining_ms").get<std::int64_t>());
    Batch.Notices_.push_back(
        {Item.at("instance"), DataCentre(Item.at("data_centre")), Remaining});
  }
  return Batch;
}

/// Serializes the object; invalid UTF-8 is replaced.
std::string dump(Json const &Object) {
  return Object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::optional<StoredObject> decodeStoredObject(std::string const &Text) {
  return decode(Text, [](Json const &Object) { return objectOf(Object, {}); });
}

std::optional<ObjectList> decodeObjectList(std::string const &Collection,
                                           std::string const &Text) {
  return decode(Text, [&](Json const &Object) {
    return ObjectList{Object.at("version").get<Version>(),
                      objectsOf(Object.at("objects"), Collection)};
  });
}

std::optional<Version> decodeVersion(std::string const &Text) {
  return decode(Text, [](Json const &Object) {
    return Object.at("version").get<Version>();
  });
}

std::optional<WatchBatch> decodeWatchBatch(std::string const &Collection,
                                           std::string const &Text) {
  return decode(Text, [&](Json const &Object) {
    auto const Continuity = Object.at("gap").get<bool>()
                                ? WatchContinuity::Gap
                                : WatchContinuity::Complete;
    return WatchBatch{Continuity, Object.at("version").get<Version>(),
                      objectsOf(Object.at("objects"), Collection)};
  });
}

std::optional<InstanceListing> decodeInstanceListing(std::string const &Text) {
  return decode(Text, listingOf);
}

std::optional<NoticeBatch> decodeNoticeBatch(std::string const &Text) {
  return decode(Text, noticesOf);
}

std::optional<ServerId> decodeServerId(std::string const &Text) {
  return decode(Text,
                [](Json const &Object) { return ServerId(Object.at("id")); });
}

std::optional<std::string> encodePut(std::string const &Value) {
  try {
    return Json{{"value", Value}}.dump();
  } catch (Json::exception const &) {
    return std::nullopt;
  }
}

std::string encodeStart(StartOrder const &Order) {
  auto const *CapacityType = Order.CapacityType_ == CapacityType::OnDemand
                                 ? "on_demand"
                                 : "reclaimable";
  return dump({{"order_id", Order.OrderId_},
               {"service", Order.Service_.text()},
               {"data_centre", Order.DataCentre_.text()},
               {"tenure", CapacityType}});
}

std::string encodeStop(ServerId const &Id) { return dump({{"id", Id.text()}}); }

std::string encodePathSegment(std::string const &Text) {
  return httplib::detail::encode_query_param(Text);
}

} // namespace laburnum
