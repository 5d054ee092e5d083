#pragma once

#include <LibCallers/CallerMessage.h>
#include <LibCallers/CompletionBody.h>
#include <LibModel/Configuration.h>
#include <LibServing/CallerRequest.h>

namespace laburnum {

/// How the answer to a request is to be written.
struct AnswerForm {
  ServiceKind Kind_ = ServiceKind::Plain;
  CompletionStyle Style_ = CompletionStyle::Text;
  Streaming Streaming_ = Streaming::No;

  auto operator<=>(AnswerForm const &) const = default;
};

/// A caller's request, understood and allowed.
struct ReadRequest {
  CallerRequest Request_;
  AnswerForm Form_;

  auto operator<=>(ReadRequest const &) const = default;
};

/// Bounds on what callers may ask for.
struct RequestBounds {
  Duration DefaultDeadline_ = std::chrono::minutes(2);
  Duration LongestDeadline_ = std::chrono::minutes(30);

  auto operator<=>(RequestBounds const &) const = default;
};

/// The first filters: finds the client account by its key, the service by
/// path or model name, and checks everything that the caller may get wrong.
/// Nothing has been sent anywhere when it fails.
Result<ReadRequest> readRequest(CallerMessage const &Message,
                                Configuration const &InForce,
                                RequestBounds const &Bounds, RequestId Id,
                                TimePoint Now);

} // namespace laburnum
