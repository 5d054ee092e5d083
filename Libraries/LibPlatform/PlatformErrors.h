#pragma once

#include <LibCore/Error.h>
#include <LibPlatform/PlatformConnection.h>

#include <optional>

namespace laburnum {

/// Whether a call changes anything at the platform.
enum class PlatformCallEffect { ReadsOnly, Writes };

/// The error that Reply stands for, or none if it is an answer of status 200.
/// What names the call in messages. A write whose effect the reply does not
/// settle is OutcomeUnknown; the same reply to a read is Unavailable. 404 is
/// NotFound, and 409 is Conflict with the present version in its message.
std::optional<Error> errorIn(PlatformReply const &Reply,
                             PlatformCallEffect Effect,
                             std::string const &What);

/// An answer of status 200 that cannot be understood.
Error malformedAnswer(PlatformCallEffect Effect, std::string const &What);

} // namespace laburnum
