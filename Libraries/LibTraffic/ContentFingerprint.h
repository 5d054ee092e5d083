#pragma once

#include <LibCore/Identifier.h>
#include <LibHttp/Exchange.h>

#include <cstdint>

namespace laburnum {

/// Returns a hash of the request's content that is the same for every attempt
/// and on every instance. Attempt identifiers and timeouts are not included.
std::uint64_t contentFingerprint(AccountName const &Account,
                                 ReceivedRequest const &Request);

} // namespace laburnum
