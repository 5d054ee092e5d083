#pragma once

#include <LibHttp/HeaderFields.h>
#include <LibTraffic/StreamOrigins.h>

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace laburnum {

/// Whether the sender of a request or an answer exchanges peer fields, which
/// older releases of this system do not.
enum class PeerFieldSupport { None, Full };

/// What entry instances state to each other about a request that is passed on,
/// in fields of the request and of the answer.
struct PeerState {
  PeerFieldSupport Support_ = PeerFieldSupport::None;
  /// In a request: set if the client has a part of the stream. In an answer:
  /// what began it.
  std::optional<StreamOrigin> Origin_;

  auto operator<=>(PeerState const &) const = default;
};

/// Returns the origin as text for other instances.
std::string encodeOrigin(StreamOrigin const &Origin);
/// Returns nothing for a malformed text.
std::optional<StreamOrigin> decodeOrigin(std::string_view Text);

/// Replaces the fields that only instances exchange, so that a client's are
/// never passed on.
void setPeerFields(HeaderFields &Fields,
                   std::optional<StreamOrigin> const &Origin);
void removePeerFields(HeaderFields &Fields);
/// Returns the state that the fields hold; a malformed field counts as absent.
PeerState peerFields(HeaderFields const &Fields);

} // namespace laburnum
