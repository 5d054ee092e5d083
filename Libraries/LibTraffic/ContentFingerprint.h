#pragma once

#include <LibCore/Identifier.h>
#include <LibGuard/RequestFingerprints.h>
#include <LibHttp/Exchange.h>
#include <LibTraffic/TrafficRequest.h>

#include <cstdint>

namespace laburnum {

/// Returns a hash of the request's content that is the same for every attempt
/// and on every instance. Attempt identifiers and timeouts are not included.
std::uint64_t contentFingerprint(AccountName const &Account,
                                 ReceivedRequest const &Request);

/// Returns the fingerprints of the content and of the first parts of its prompt
/// that other requests may share, each part once.
RequestFingerprints requestFingerprints(AccountName const &Account,
                                        ReceivedRequest const &Request,
                                        RequestMetadata const &Metadata);

} // namespace laburnum
