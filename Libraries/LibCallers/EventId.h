#pragma once

#include <LibServing/TokenDigest.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace laburnum {

/// The id of a token's server-sent event. A caller that resumes a stream sends
/// it back to name the last token it has. The digest identifies the tokens up
/// to the offset, so that a stream is never continued with the tokens of
/// another run.
struct EventId {
  std::uint32_t Offset_ = 0;
  std::optional<TokenDigest> Digest_;

  auto operator<=>(EventId const &) const = default;
};

/// The offset in decimal, followed by a hyphen and the digest in hexadecimal.
std::string toString(EventId const &Id);

/// Parses an event id, with or without a digest; nullopt if it is malformed.
std::optional<EventId> parseEventId(std::string const &Text);

} // namespace laburnum
