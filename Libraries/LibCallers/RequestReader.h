#pragma once

#include <LibCallers/CallerMessage.h>
#include <LibCallers/CompletionBody.h>
#include <LibModel/Configuration.h>
#include <LibServing/CallerRequest.h>

namespace laburnum {

/// The format of the answer to a request.
struct AnswerForm {
  ServiceKind Kind_ = ServiceKind::Plain;
  CompletionStyle Style_ = CompletionStyle::Text;
  Streaming Streaming_ = Streaming::No;

  auto operator<=>(AnswerForm const &) const = default;
};

/// A caller's request after validation and authorization.
struct ParsedRequest {
  CallerRequest Request_;
  AnswerForm Form_;

  auto operator<=>(ParsedRequest const &) const = default;
};

/// The default and the maximum of the deadline that callers may request.
struct RequestBounds {
  Duration DefaultDeadline_ = std::chrono::minutes(2);
  Duration MaxDeadline_ = std::chrono::minutes(30);

  auto operator<=>(RequestBounds const &) const = default;
};

/// Finds the client account by its key and the service by path or model name,
/// and validates the message. When it fails, nothing was sent to a backend
/// server.
Result<ParsedRequest> parseRequest(CallerMessage const &Message,
                                   Configuration const &InForce,
                                   RequestBounds const &Bounds, RequestId Id,
                                   TimePoint Now);

} // namespace laburnum
