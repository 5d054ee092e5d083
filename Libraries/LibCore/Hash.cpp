#include <LibCore/Hash.h>

#include <xxhash.h>

namespace laburnum {

std::uint64_t stableHash(std::string_view Bytes, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

} // namespace laburnum
