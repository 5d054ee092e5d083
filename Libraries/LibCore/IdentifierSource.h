#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace laburnum {

/// Generates unique identifiers from a seeded generator, so that a run with the
/// same seed generates the same identifiers.
class IdentifierSource {
public:
  explicit IdentifierSource(std::uint64_t Seed) : Generator_(Seed) {}

  /// Returns 128 random bits in hexadecimal.
  std::string next();

private:
  std::mt19937_64 Generator_;
};

/// Whether the text is of the form of the identifiers that
/// IdentifierSource::next() returns.
bool isGeneratedIdentifier(std::string_view Text);

} // namespace laburnum
