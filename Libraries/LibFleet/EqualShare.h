#pragma once

#include <LibFleet/Member.h>

#include <vector>

namespace laburnum {

/// The part of each account's limits that one entry instance gives out: an
/// equal one for each live instance that it knows of, itself included.
///
/// While all instances know each other, an account gets at most its limits. In
/// a cut each of the separated groups shares the limits among its own members,
/// so that an account gets at most its limits times the number of groups. The
/// same holds while a change of members is still being passed on.
double equalShare(std::vector<Member> const &Members);

} // namespace laburnum
