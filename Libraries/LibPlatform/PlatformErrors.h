#pragma once

#include <LibCore/Error.h>
#include <LibPlatform/PlatformConnection.h>

#include <optional>

namespace laburnum {

/// Whether a call changes the platform's state.
enum class PlatformCallEffect { ReadsOnly, Writes };

/// The error that Reply represents, or nullopt for an answer of status 200.
/// CallName names the call in messages. A reply that leaves the effect of a
/// write open is OutcomeUnknown; the same reply to a read is Unavailable. 404
/// is NotFound, and 409 is Conflict with the present version in its message.
std::optional<Error> errorIn(PlatformReply const &Reply,
                             PlatformCallEffect Effect,
                             std::string const &CallName);

/// The error for an answer of status 200 whose body cannot be decoded.
Error malformedAnswer(PlatformCallEffect Effect, std::string const &CallName);

} // namespace laburnum
