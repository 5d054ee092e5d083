#pragma once

#include <LibCore/Result.h>
#include <LibPeer/PeerMessage.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace laburnum {

/// The largest body of a frame, in bytes.
constexpr std::size_t LargestPeerBody = std::size_t(4) << 20;

/// The length before each body: 4 bytes, big-endian.
constexpr std::size_t PeerHeaderSize = 4;

/// The message's body in msgpack: an array of type number and fields. An
/// error (InvalidArgument) when it is larger than LargestPeerBody.
Result<std::string> encodePeerBody(PeerMessage const &Message);

/// Errors, all InvalidArgument: a body that is too large, not msgpack, of an
/// unknown type or with wrong fields.
Result<PeerMessage> decodePeerBody(std::string_view Body);

/// The length and then the body.
Result<std::string> encodePeerFrame(PeerMessage const &Message);

/// The length of the body that follows, or an error if it is too large.
/// Header has PeerHeaderSize bytes.
Result<std::size_t> decodePeerHeader(std::string_view Header);

} // namespace laburnum
