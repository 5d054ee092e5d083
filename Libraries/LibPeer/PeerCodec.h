#pragma once

#include <LibCore/Result.h>
#include <LibPeer/PeerMessage.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace laburnum {

/// Maximum size of a frame's body, in bytes.
constexpr std::size_t MaxPeerBodySize = std::size_t(4) << 20;

/// Size of the length prefix of each body in bytes; the length is big-endian.
constexpr std::size_t PeerHeaderSize = 4;

/// Encodes the message as a msgpack array of type number and fields. Error:
/// InvalidArgument if the body is larger than MaxPeerBodySize.
Result<std::string> encodePeerBody(PeerMessage const &Message);

/// Decodes a body. Errors, all InvalidArgument: a body that is too large, not
/// msgpack, of an unknown type or with wrong fields.
Result<PeerMessage> decodePeerBody(std::string_view Body);

/// Encodes the message as a frame: the length prefix and the body.
Result<std::string> encodePeerFrame(PeerMessage const &Message);

/// Returns the length of the body that follows, or an error if it is too large.
/// Header must have PeerHeaderSize bytes.
Result<std::size_t> decodePeerHeader(std::string_view Header);

} // namespace laburnum
