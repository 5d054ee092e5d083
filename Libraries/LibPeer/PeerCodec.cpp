#include <LibPeer/PeerCodec.h>

#include <LibPeer/PeerFields.h>

#include <msgpack.hpp>

#include <array>
#include <exception>
#include <utility>

namespace laburnum {

namespace {

/// Limits for lengths stated in a body, checked before memory is allocated.
constexpr std::size_t MaxArrayLength = 65536;
constexpr std::size_t MaxNestingDepth = 12;

Error malformed(std::string const &What) {
  return {ErrorKind::InvalidArgument, "a peer's message " + What,
          "check that all entry instances run compatible releases"};
}

template <std::size_t... Indexes>
PeerMessage decodeAlternative(std::size_t Type, msgpack::object const &Fields,
                              std::index_sequence<Indexes...>) {
  PeerMessage Message;
  auto const Decode = [&]<std::size_t Index>() {
    std::variant_alternative_t<Index, PeerMessage> Value;
    detail::unpackFields(Fields, Value);
    Message = std::move(Value);
  };
  ((Type == Indexes ? Decode.template operator()<Indexes>() : void()), ...);
  return Message;
}

Result<PeerMessage> decodeObject(msgpack::object const &Root) {
  if (Root.type != msgpack::type::ARRAY || Root.via.array.size != 2)
    return malformed("is not a pair of type and fields");
  constexpr auto Types = std::variant_size_v<PeerMessage>;
  auto const Type = Root.via.array.ptr[0].as<std::uint64_t>();
  if (Type >= Types)
    return malformed("has the unknown type " + std::to_string(Type));
  return decodeAlternative(Type, Root.via.array.ptr[1],
                           std::make_index_sequence<Types>());
}

} // namespace

Result<std::string> encodePeerBody(PeerMessage const &Message) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(2);
  Packer.pack(static_cast<std::uint64_t>(Message.index()));
  std::visit([&](auto const &Value) { detail::packFields(Packer, Value); },
             Message);
  if (Buffer.size() > MaxPeerBodySize)
    return malformed("is larger than " + std::to_string(MaxPeerBodySize) +
                     " bytes");
  return std::string(Buffer.data(), Buffer.size());
}

Result<PeerMessage> decodePeerBody(std::string_view Body) {
  if (Body.size() > MaxPeerBodySize)
    return malformed("is too large");
  msgpack::unpack_limit const Limit(MaxArrayLength, 0, MaxPeerBodySize, 0, 0,
                                    MaxNestingDepth);
  try {
    std::size_t Read = 0;
    auto const Handle = msgpack::unpack(Body.data(), Body.size(), Read, nullptr,
                                        nullptr, Limit);
    if (Read != Body.size())
      return malformed("has bytes after its end");
    return decodeObject(Handle.get());
  } catch (std::exception const &Failure) {
    return malformed(std::string("cannot be decoded: ") + Failure.what());
  }
}

Result<std::string> encodePeerFrame(PeerMessage const &Message) {
  auto Body = encodePeerBody(Message);
  if (isError(Body))
    return errorOf(Body);
  auto const Size = valueOf(Body).size();
  std::string Frame;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Frame.push_back(static_cast<char>((Size >> Shift) & 0xff));
  return Frame + valueOf(Body);
}

Result<std::size_t> decodePeerHeader(std::string_view Header) {
  if (Header.size() != PeerHeaderSize)
    return malformed("has a header of the wrong size");
  std::size_t Size = 0;
  for (auto const Byte : Header)
    Size = (Size << 8) | static_cast<unsigned char>(Byte);
  if (Size > MaxPeerBodySize)
    return malformed("claims to be " + std::to_string(Size) + " bytes long");
  return Size;
}

} // namespace laburnum
