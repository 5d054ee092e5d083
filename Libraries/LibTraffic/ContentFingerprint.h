#pragma once

#include <LibCore/Identifier.h>
#include <LibHttp/Exchange.h>

#include <cstdint>

namespace laburnum {

/// Names what a request asks for: the same for every attempt and at every
/// instance. Attempt identifiers and times allowed have no part in it.
std::uint64_t contentFingerprint(AccountName const &Account,
                                 ReceivedRequest const &Request);

} // namespace laburnum
