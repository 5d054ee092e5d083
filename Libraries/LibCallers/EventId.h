#pragma once

#include <LibServing/TokenDigest.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace laburnum {

/// The id of a token's server-sent event. A caller that sends it back says
/// which tokens it has: up to which offset, and by the digest of which run, so
/// that a stream is never continued with another run's tokens.
struct EventId {
  std::uint32_t Offset_ = 0;
  std::optional<TokenDigest> Digest_;

  auto operator<=>(EventId const &) const = default;
};

/// The offset in decimal and, behind a hyphen, the digest in hexadecimal.
std::string toString(EventId const &Id);

/// Nothing when the text is no event id; the digest may be left out.
std::optional<EventId> parseEventId(std::string const &Text);

} // namespace laburnum
