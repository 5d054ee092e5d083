#pragma once

#include <LibCallers/RequestReader.h>
#include <LibCallers/StreamSource.h>
#include <LibServing/FailureAnswer.h>

#include <string>
#include <vector>

namespace laburnum {

/// A complete HTTP answer to a caller.
struct HttpAnswer {
  int Status_ = 200;
  std::string ContentType_ = "application/json";
  std::string Body_;
  std::vector<HttpField> Fields_;

  auto operator<=>(HttpAnswer const &) const = default;
};

/// The HTTP answer for a failure, with Retry-After in seconds, rounded up, if a
/// retry can succeed (RFC 9110, section 10.2.3).
HttpAnswer answerOf(FailureAnswer const &Failure, RequestId const &Request);

/// The HTTP answer for a request rejected before anything was sent to a backend
/// server.
HttpAnswer refusalOf(Error const &Failure, RequestId const &Request);

/// The HTTP answer for a completion without streaming.
HttpAnswer answerOfCompletion(std::string const &Text, std::uint32_t Tokens,
                              ParsedRequest const &Read);

/// One token as a server-sent event. Its id carries the token's offset, so that
/// a client that reconnects can name the token to resume from.
std::string tokenEvent(StreamToken const &Token, ParsedRequest const &Read);

/// The last events of a complete stream.
std::string endEvent();

/// The last event of a stream that continues at another instance: the caller
/// repeats its request with the key given here and the id of the last event.
std::string movedEvent(ParsedRequest const &Read);

/// The last event of a stream that failed after its first token; [DONE] does
/// not follow.
std::string failureEvent(FailureAnswer const &Failure,
                         RequestId const &Request);

} // namespace laburnum
