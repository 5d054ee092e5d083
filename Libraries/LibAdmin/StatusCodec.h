#pragma once

#include <LibAdmin/OperatorChange.h>
#include <LibCore/Error.h>

#include <grpcpp/support/status.h>

#include <optional>

namespace laburnum {

/// The gRPC status of a failed call, with an ErrorDetail in its details.
grpc::Status encodeStatus(Error const &Failure);

/// The status of a change that lost against another.
grpc::Status encodeConflict(ObjectName const &Name, Version Expected,
                            Version Present);

/// Whether a call whose answer is lost can have changed something.
enum class CallEffect { Reads, Changes };

/// The error of a status that is not OK. A status without ErrorDetail comes
/// from the transport, and a change that ended so has an unknown outcome.
Error decodeStatus(grpc::Status const &Status, CallEffect Effect);

/// The present version, when the status reports a version conflict.
std::optional<Version> conflictVersion(grpc::Status const &Status);

} // namespace laburnum
