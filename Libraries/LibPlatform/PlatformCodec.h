#pragma once

#include <LibPlatform/CloudApi.h>
#include <LibPlatform/InstanceList.h>
#include <LibPlatform/ObjectStore.h>

#include <optional>
#include <string>

namespace laburnum {

/// JSON of the platform's protocol (docs/PROTOCOLS.md). Decoding returns
/// nullopt when the text does not conform to the protocol; unknown keys are
/// ignored, since the platform may add some.
std::optional<StoredObject> decodeStoredObject(std::string const &Json);
std::optional<ObjectList> decodeObjectList(std::string const &Collection,
                                           std::string const &Json);
std::optional<Version> decodeVersion(std::string const &Json);
std::optional<WatchBatch> decodeWatchBatch(std::string const &Collection,
                                           std::string const &Json);
std::optional<InstanceListing> decodeInstanceListing(std::string const &Json);
std::optional<NoticeBatch> decodeNoticeBatch(std::string const &Json);
std::optional<ServerId> decodeServerId(std::string const &Json);

/// The body of a put; nullopt when Value is not UTF-8.
std::optional<std::string> encodePut(std::string const &Value);
std::string encodeStart(StartOrder const &Order);
std::string encodeStop(ServerId const &Id);

/// Percent-encodes one segment of a path.
std::string encodePathSegment(std::string const &Text);

} // namespace laburnum
