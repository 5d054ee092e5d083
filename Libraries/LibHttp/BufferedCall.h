#pragma once

#include <LibHttp/OutboundPool.h>

#include <functional>
#include <string>
#include <variant>

namespace laburnum {

/// A complete answer: head and body.
struct BufferedAnswer {
  AnswerHead Head_;
  std::string Body_;

  auto operator<=>(BufferedAnswer const &) const = default;
};

using BufferedOutcome = std::variant<BufferedAnswer, AttemptEvidence>;

/// Sends a request and calls Done once, on the pool's thread, with the complete
/// answer or, if the call failed or Timeout passed, with how far it got.
void callBuffered(asio::io_context &Context,
                  std::shared_ptr<OutboundPool> const &Pool,
                  OutboundRequest Request, Duration Timeout,
                  std::function<void(BufferedOutcome)> Done);

} // namespace laburnum
