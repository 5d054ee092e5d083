#include <LibAdmin/StatusCodec.h>

#include <laburnum.pb.h>

#include <array>

namespace laburnum {

namespace {

using admin::v1::ErrorDetail;

struct CodeOfKind {
  ErrorKind Kind_;
  grpc::StatusCode Code_;
};

constexpr std::array<CodeOfKind, 10> Codes = {{
    {ErrorKind::InvalidArgument, grpc::StatusCode::INVALID_ARGUMENT},
    {ErrorKind::Unauthenticated, grpc::StatusCode::UNAUTHENTICATED},
    {ErrorKind::PermissionDenied, grpc::StatusCode::PERMISSION_DENIED},
    {ErrorKind::NotFound, grpc::StatusCode::NOT_FOUND},
    {ErrorKind::Conflict, grpc::StatusCode::ABORTED},
    {ErrorKind::ResourceExhausted, grpc::StatusCode::RESOURCE_EXHAUSTED},
    {ErrorKind::Unavailable, grpc::StatusCode::UNAVAILABLE},
    {ErrorKind::OutcomeUnknown, grpc::StatusCode::UNKNOWN},
    {ErrorKind::DeadlineExceeded, grpc::StatusCode::DEADLINE_EXCEEDED},
    {ErrorKind::Internal, grpc::StatusCode::INTERNAL},
}};

grpc::StatusCode codeOf(ErrorKind Kind) {
  for (auto const &Mapping : Codes)
    if (Mapping.Kind_ == Kind)
      return Mapping.Code_;
  return grpc::StatusCode::INTERNAL;
}

ErrorKind kindNamed(std::string const &Name) {
  for (auto const &Mapping : Codes)
    if (toString(Mapping.Kind_) == Name)
      return Mapping.Kind_;
  return ErrorKind::Internal;
}

ErrorKind kindOf(grpc::StatusCode Code) {
  for (auto const &Mapping : Codes)
    if (Mapping.Code_ == Code)
      return Mapping.Kind_;
  return ErrorKind::Internal;
}

ErrorDetail detailOf(Error const &Failure) {
  ErrorDetail Detail;
  Detail.set_kind(toString(Failure.Kind_));
  Detail.set_message(Failure.Message_);
  Detail.set_remedy(Failure.Remedy_);
  return Detail;
}

grpc::Status statusOf(Error const &Failure, ErrorDetail const &Detail) {
  return {codeOf(Failure.Kind_), Failure.Message_, Detail.SerializeAsString()};
}

std::optional<ErrorDetail> detailIn(grpc::Status const &Status) {
  ErrorDetail Detail;
  if (Status.error_details().empty() ||
      !Detail.ParseFromString(Status.error_details()))
    return std::nullopt;
  return Detail;
}

bool mayHaveRun(grpc::StatusCode Code) {
  return Code != grpc::StatusCode::UNIMPLEMENTED &&
         Code != grpc::StatusCode::RESOURCE_EXHAUSTED;
}

} // namespace

grpc::Status encodeStatus(Error const &Failure) {
  return statusOf(Failure, detailOf(Failure));
}

grpc::Status encodeConflict(ObjectName const &Name, Version Expected,
                            Version Current) {
  Error const Failure{
      ErrorKind::Conflict,
      toString(Name.Kind_) + " " + Name.Name_ + " is at version " +
          std::to_string(Current) + ", not at the expected version " +
          std::to_string(Expected),
      "read it again, and if the change is still right, send it with a new "
      "change identifier and expected version " +
          std::to_string(Current)};
  auto Detail = detailOf(Failure);
  Detail.set_present_version(Current);
  Detail.set_version_conflict(true);
  return statusOf(Failure, Detail);
}

Error decodeStatus(grpc::Status const &Status, CallEffect Effect) {
  if (auto const Detail = detailIn(Status))
    return {kindNamed(Detail->kind()), Detail->message(), Detail->remedy()};
  if (Effect == CallEffect::Changes && mayHaveRun(Status.error_code()))
    return {ErrorKind::OutcomeUnknown,
            "the answer was lost: " + Status.error_message(),
            "send the same change again with the same change identifier"};
  return {kindOf(Status.error_code()), Status.error_message(),
          "check the server's address and state, then try again"};
}

std::optional<Version> conflictVersion(grpc::Status const &Status) {
  auto const Detail = detailIn(Status);
  if (!Detail || !Detail->version_conflict())
    return std::nullopt;
  return Detail->present_version();
}

} // namespace laburnum
