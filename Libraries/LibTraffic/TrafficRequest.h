#pragma once

#include <LibCore/Time.h>
#include <LibHttp/Exchange.h>
#include <LibTraffic/RouteTable.h>
#include <LibTraffic/ServerRecord.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace laburnum {

/// The sizes of a generation.
struct TokenCounts {
  std::uint64_t Prompt_ = 0;
  std::uint64_t MaxOutput_ = 0;

  auto operator<=>(TokenCounts const &) const = default;
};

/// What a client's request says beyond its method, path and body.
struct RequestFacts {
  std::string AttemptId_; ///< The client's name for this try.
  std::string Key_;
  std::optional<Duration> TimeAllowed_; ///< From when it was sent.
  std::optional<TokenCounts> Tokens_;
  /// The parts of the prompt that other requests have in common with this one.
  std::string SharedPrefix_;
  std::optional<std::uint64_t> LastEventId_; ///< The client has it already.

  auto operator<=>(RequestFacts const &) const = default;
};

/// What one attempt adds to a request on its way to a server.
struct AttemptFacts {
  ServerId Server_;
  AccountName Account_; ///< Empty on an anonymous route.
  Duration TimeLeft_{};
  std::optional<std::uint64_t> LastEventId_;

  auto operator<=>(AttemptFacts const &) const = default;
};

/// What a server's answer says about its request.
enum class AnswerClaim {
  Succeeded, ///< 2xx that bears the server's signature.
  NotRun,    ///< The server refused it before any work.
  Failed,    ///< It ran, and failed in the server's own words.
  /// Neither signed nor a refusal: it may have run and its bytes are no answer.
  Untrusted,
};

/// How far the time of a pause is what the server wrote.
enum class PauseOrigin {
  AsAsked,
  Bounded, ///< It asked for more than is granted.
  Default, ///< What it wrote is no time.
};

/// A server's word that it wants no requests from this instance for a while.
struct PauseRequest {
  Duration For_{};
  PauseOrigin Origin_ = PauseOrigin::AsAsked;

  auto operator<=>(PauseRequest const &) const = default;
};

/// A server's answer head, decoded.
struct ServerAnswer {
  AnswerClaim Claim_ = AnswerClaim::Untrusted;
  AnswerHead Head_; ///< As it goes to the client.
  std::optional<ServerLoad> Load_;
  bool IsOtherServer_ = false; ///< Another server has the address now.
  bool IsLeaving_ = false;     ///< It says that it leaves.
  std::optional<PauseRequest> Pause_;

  auto operator<=>(ServerAnswer const &) const = default;
};

/// Whether an answer is the one that was asked for.
enum class AnswerMatch { Ours, AnotherRequest };

/// How requests and answers are spelled between clients, this system and
/// backend servers.
class TrafficDialect {
public:
  virtual ~TrafficDialect() = default;

  /// InvalidArgument when the request cannot be understood.
  virtual Result<RequestFacts> decode(RequestHead const &Head) const = 0;
  virtual RequestHead encode(RequestHead const &Received,
                             AttemptFacts const &Attempt) const = 0;
  virtual AnswerMatch match(AnswerHead const &Head,
                            std::string const &AttemptId) const = 0;
  virtual ServerAnswer decode(AnswerHead const &Head) const = 0;
  /// An answer of this system's own.
  virtual AnswerHead refusal(std::int32_t Status,
                             std::optional<Duration> RetryAfter,
                             std::string const &AttemptId) const = 0;
};

} // namespace laburnum
