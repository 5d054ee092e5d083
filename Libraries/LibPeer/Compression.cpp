#include <LibPeer/Compression.h>

#include <zlib.h>

#include <array>

namespace laburnum {

std::string compress(std::string_view Text) {
  auto Size = compressBound(Text.size());
  std::string Data(Size, '\0');
  if (compress2(reinterpret_cast<Bytef *>(Data.data()), &Size,
                reinterpret_cast<Bytef const *>(Text.data()), Text.size(),
                Z_BEST_SPEED) != Z_OK)
    return {};
  Data.resize(Size);
  Data.shrink_to_fit();
  return Data;
}

std::optional<std::string> decompress(std::string_view Data,
                                      std::size_t MaxBytes) {
  z_stream Stream{};
  if (inflateInit(&Stream) != Z_OK)
    return std::nullopt;
  // zlib's interface predates const.
  Stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(Data.data()));
  Stream.avail_in = static_cast<uInt>(Data.size());
  std::string Text;
  std::array<char, 16384> Part;
  int Outcome = Z_OK;
  while (Outcome == Z_OK && Text.size() <= MaxBytes) {
    Stream.next_out = reinterpret_cast<Bytef *>(Part.data());
    Stream.avail_out = Part.size();
    Outcome = inflate(&Stream, Z_NO_FLUSH);
    Text.append(Part.data(), Part.size() - Stream.avail_out);
  }
  inflateEnd(&Stream);
  if (Outcome != Z_STREAM_END || Stream.avail_in > 0 || Text.size() > MaxBytes)
    return std::nullopt;
  return Text;
}

} // namespace laburnum
