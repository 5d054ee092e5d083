#pragma once

#include <LibCallers/RequestReader.h>
#include <LibCallers/StreamSource.h>
#include <LibServing/FailureAnswer.h>

#include <string>
#include <vector>

namespace laburnum {

/// A whole HTTP answer to a caller.
struct HttpAnswer {
  int Status_ = 200;
  std::string ContentType_ = "application/json";
  std::string Body_;
  std::vector<HttpField> Fields_;

  auto operator<=>(HttpAnswer const &) const = default;
};

/// The failure as an HTTP answer, with Retry-After in whole seconds, rounded
/// up, where trying again can help (RFC 9110, section 10.2.3).
HttpAnswer answerOf(FailureAnswer const &Failure, RequestId const &Request);

/// A failure found before anything was sent anywhere.
HttpAnswer refusalOf(Error const &Failure, RequestId const &Request);

/// A completion that was asked for without streaming.
HttpAnswer answerOfCompletion(std::string const &Text, std::uint32_t Tokens,
                              ReadRequest const &Read);

/// One token as a server-sent event whose id is the token's offset, so that a
/// client that reconnects says from where it wants the rest.
std::string eventOf(TokenOut const &Token, ReadRequest const &Read);

/// The last events of a stream that is whole.
std::string endEvent();

/// A stream that goes on at another instance ends with this event: the caller
/// sends its request again with the key named here and the last event's id.
std::string movedEvent(ReadRequest const &Read);

/// A stream that failed after its first token ends with this event and without
/// the closing [DONE].
std::string failureEvent(FailureAnswer const &Failure,
                         RequestId const &Request);

} // namespace laburnum
