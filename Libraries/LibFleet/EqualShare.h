#pragma once

#include <LibFleet/Member.h>

#include <vector>

namespace laburnum {

/// The share of each account's limits that one entry instance grants: 1 divided
/// by the number of live instances that it knows of, itself included.
///
/// While all instances know each other, an account gets at most its limits.
/// During a network partition each group shares the limits among its own
/// members, so that an account gets at most its limits times the number of
/// groups. The same holds while a membership change is still being propagated.
double equalShare(std::vector<Member> const &Members);

} // namespace laburnum
