#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace laburnum {

/// Makes names that no other source makes, from a seeded generator, so that a
/// run with the same seed gives the same names.
class IdentifierSource {
public:
  explicit IdentifierSource(std::uint64_t Seed) : Generator_(Seed) {}

  /// 128 random bits in hexadecimal.
  std::string next();

private:
  std::mt19937_64 Generator_;
};

} // namespace laburnum
