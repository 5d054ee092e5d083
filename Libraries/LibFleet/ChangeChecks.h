#pragma once

#include <LibFleet/ChangeWriter.h>

namespace laburnum::detail {

/// Validates a change without looking at the stored object: names, sizes, and a
/// specification that decodes and carries the object's name. Errors are
/// InvalidArgument.
Result<Success> checkChange(Change const &Requested);

/// The specification as stored in the audit entry: without the key digest of an
/// account, and truncated if it is long.
std::string auditedSpecification(Change const &Requested);

} // namespace laburnum::detail
