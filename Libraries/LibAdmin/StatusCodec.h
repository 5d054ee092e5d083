#pragma once

#include <LibAdmin/OperatorChange.h>
#include <LibCore/Error.h>

#include <grpcpp/support/status.h>

#include <optional>

namespace laburnum {

/// The gRPC status of a failed call, with an ErrorDetail in its details.
grpc::Status encodeStatus(Error const &Failure);

/// The status of a change that conflicts with another one.
grpc::Status encodeConflict(ObjectName const &Name, Version Expected,
                            Version Current);

/// Whether a call whose answer is lost may have changed state.
enum class CallEffect { Reads, Changes };

/// The error of a status other than OK. A status without ErrorDetail comes from
/// the transport and leaves the outcome of a change unknown.
Error decodeStatus(grpc::Status const &Status, CallEffect Effect);

/// The current version, if the status reports a version conflict.
std::optional<Version> conflictVersion(grpc::Status const &Status);

} // namespace laburnum
