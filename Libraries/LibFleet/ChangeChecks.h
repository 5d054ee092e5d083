#pragma once

#include <LibFleet/ChangeWriter.h>

namespace laburnum::detail {

/// Whether the change is well formed on its own: names, sizes and a
/// specification that decodes and carries the object's own name. Errors are
/// InvalidArgument.
Result<Success> checkChange(Change const &Asked);

/// The specification as its audit entry holds it: an account's without the
/// digest of its key, and a long one cut.
std::string auditedSpecification(Change const &Asked);

} // namespace laburnum::detail
