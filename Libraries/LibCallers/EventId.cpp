#include <LibCallers/EventId.h>

#include <charconv>

namespace laburnum {

namespace {

constexpr int Hexadecimal = 16;
/// The highest offset accepted from a caller.
constexpr std::uint32_t MaxOffset = (1U << 30) - 1;

} // namespace

std::string toString(EventId const &Id) {
  auto Text = std::to_string(Id.Offset_);
  if (!Id.Digest_)
    return Text;
  char Digits[sizeof(TokenDigest) * 2];
  auto const Written =
      std::to_chars(Digits, Digits + sizeof(Digits), *Id.Digest_, Hexadecimal);
  return Text + "-" + std::string(Digits, Written.ptr);
}

std::optional<EventId> parseEventId(std::string const &Text) {
  auto const *End = Text.data() + Text.size();
  EventId Id;
  auto const Offset = std::from_chars(Text.data(), End, Id.Offset_);
  if (Offset.ec != std::errc() || Id.Offset_ > MaxOffset)
    return std::nullopt;
  if (Offset.ptr == End)
    return Id;
  TokenDigest Digest = 0;
  auto const Read = std::from_chars(Offset.ptr + 1, End, Digest, Hexadecimal);
  if (*Offset.ptr != '-' || Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  Id.Digest_ = Digest;
  return Id;
}

} // namespace laburnum
