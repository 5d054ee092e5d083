#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Result.h>

#include <string>

namespace laburnum {

/// The value of the lease object: its last writer and that write's nonce.
struct LeaseRecord {
  InstanceId Holder_;
  Nonce Nonce_;

  auto operator<=>(LeaseRecord const &) const = default;
};

std::string encodeLease(LeaseRecord const &Value);
/// Fails with InvalidArgument when the text is not an encoded lease.
Result<LeaseRecord> decodeLease(std::string const &Json);

} // namespace laburnum
