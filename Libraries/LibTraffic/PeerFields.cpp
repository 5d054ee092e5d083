#include <LibTraffic/PeerFields.h>

#include <LibCore/PercentEncoding.h>

#include <string>
#include <string_view>

namespace laburnum {

namespace {

/// "SERVICE/VERSION", both percent-encoded (RFC 3986, section 2.1), or empty.
constexpr char const *OriginField = "Laburnum-Stream-Origin";

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
