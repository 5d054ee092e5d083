#include <LibTraffic/PeerFields.h>

#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>

namespace laburnum {

namespace {

/// "SERVICE/VERSION", both percent-encoded (RFC 3986, section 2.1), or empty.
constexpr char const *OriginField = "Laburnum-Stream-Origin";

bool isUnreserved(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '.' || Character == '_' || Character == '~';
}

std::string percentEncode(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Encoded;
  for (char const Character : Text) {
    if (isUnreserved(Character)) {
      Encoded += Character;
      continue;
    }
    auto const Byte = static_cast<unsigned char>(Character);
    Encoded += '%';
    Encoded += Digits[Byte / 16];
    Encoded += Digits[Byte % 16];
  }
  return Encoded;
}

std::optional<std::string> percentDecode(std::string_view Text) {
  constexpr std::size_t EscapeLength = 3;
  constexpr int Hexadecimal = 16;
  std::string Decoded;
  while (!Text.empty()) {
    if (Text.front() != '%') {
      if (!isUnreserved(Text.front()))
        return std::nullopt;
      Decoded += Text.front();
      Text.remove_prefix(1);
      continue;
    }
    unsigned Byte = 0;
    if (Text.size() < EscapeLength)
      return std::nullopt;
    auto const *const End = Text.data() + EscapeLength;
    auto const Parsed =
        std::from_chars(Text.data() + 1, End, Byte, Hexadecimal);
    if (Parsed.ec != std::errc() || Parsed.ptr != End)
      return std::nullopt;
    Decoded += static_cast<char>(Byte);
    Text.remove_prefix(EscapeLength);
  }
  return Decoded;
}

} // namespace

std::string encodeOrigin(StreamOrigin const &Origin) {
  return percentEncode(Origin.Service_.text()) + '/' +
         percentEncode(Origin.SoftwareVersion_);
}

std::optional<StreamOrigin> decodeOrigin(std::string_view Text) {
  auto const Slash = Text.find('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  auto const Service = percentDecode(Text.substr(0, Slash));
  auto const Version = percentDecode(Text.substr(Slash + 1));
  if (!Service || Service->empty() || !Version)
    return std::nullopt;
  return StreamOrigin{ServiceName(*Service), *Version};
}

void removePeerFields(HeaderFields &Fields) { Fields.remove(OriginField); }

void setPeerFields(HeaderFields &Fields,
                   std::optional<StreamOrigin> const &Origin) {
  Fields.set(OriginField, Origin ? encodeOrigin(*Origin) : std::string());
}

PeerState peerFields(HeaderFields const &Fields) {
  if (Fields.count(OriginField) != 1)
    return {};
  return {PeerFieldSupport::Full, decodeOrigin(Fields.valueOr(OriginField))};
}

} // namespace laburnum
