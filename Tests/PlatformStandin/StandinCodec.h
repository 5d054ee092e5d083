#pragma once

#include <LibPlatform/CloudApi.h>
#include <LibPlatform/InstanceList.h>
#include <LibPlatform/ObjectStore.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace laburnum {

/// The platform's side of the JSON of docs/PROTOCOLS.md. Decoding returns
/// nullopt when the text does not conform to the protocol.
nlohmann::json encode(StoredObject const &Object);
nlohmann::json encode(ObjectList const &List);
nlohmann::json encode(WatchBatch const &Batch);
nlohmann::json encode(InstanceListing const &Listing);
nlohmann::json encode(NoticeBatch const &Batch);

/// The body of POST /faults.
struct FaultRequest {
  std::string Kind_;
  bool IsOn_ = true;
  Duration Delay_{};
  std::uint32_t Count_ = 0; ///< 0 means until it is switched off.
};

std::optional<std::string> decodePutValue(std::string const &Text);
std::optional<ListedEntryInstance> decodeEntry(std::string const &Text);
std::optional<StartOrder> decodeStart(std::string const &Text);
std::optional<ServerId> decodeStop(std::string const &Text);
std::optional<FaultRequest> decodeFault(std::string const &Text);
std::optional<ReclaimNotice> decodeReclaim(std::string const &Text);

} // namespace laburnum
