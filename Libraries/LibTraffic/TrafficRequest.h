#pragma once

#include <LibCore/Time.h>
#include <LibHttp/Exchange.h>
#include <LibHttp/ProcessIdentifier.h>
#include <LibTraffic/PeerFields.h>
#include <LibTraffic/RequestWork.h>
#include <LibTraffic/RouteTable.h>
#include <LibTraffic/ServerRecord.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnum {

/// Token counts of a generation request.
struct TokenCounts {
  std::uint64_t Prompt_ = 0;
  std::uint64_t MaxOutput_ = 0;

  auto operator<=>(TokenCounts const &) const = default;
};

/// Metadata of a client's request beside its method, path and body.
struct RequestMetadata {
  std::string AttemptId_; ///< The client's identifier of this attempt.
  std::string Key_;
  std::optional<Duration> TimeAllowed_; ///< Timeout from the time of sending.
  std::optional<TokenCounts> Tokens_;
  /// Prefix of the prompt that this request shares with others.
  std::string SharedPrefix_;
  /// Identifiers of the prompt's parts, in order, but for the last one, which
  /// no other request shares.
  std::vector<std::string> SharedParts_;
  std::uint64_t SharedTokens_ = 0; ///< Of these parts.
  /// Last event that the client has received.
  std::optional<std::uint64_t> LastEventId_;
  /// Whether the client takes up a stream of which it has received a part.
  bool TakesUpStream_ = false;
  /// The client's identifier of the attempt that brought the first event of the
  /// stream that it takes up. Empty if it does not name one.
  std::string FirstAttemptId_;
  /// Stated by the entry instance that passes the request on, if one does.
  PeerState Peer_;

  auto operator<=>(RequestMetadata const &) const = default;
};

/// Returns what a generation asks of a model engine, or nothing if the request
/// does not state its size.
inline std::optional<RequestWork> workOf(RequestMetadata const &Metadata) {
  if (!Metadata.Tokens_)
    return std::nullopt;
  return RequestWork{Metadata.Tokens_->Prompt_, Metadata.SharedTokens_,
                     Metadata.Tokens_->MaxOutput_};
}

/// Metadata that an attempt adds to the request sent to a server, or to another
/// entry instance.
struct AttemptMetadata {
  ServerId Server_;
  AccountName Account_; ///< Empty on an anonymous route.
  Duration TimeLeft_{};
  std::optional<std::uint64_t> LastEventId_;
  /// The attempt that began the stream of which the client has a part. Empty
  /// if it has none.
  std::string FirstAttemptId_;
  /// What began that stream.
  std::optional<StreamOrigin> Origin_;
  /// See serverPriority(). Nothing: the server is not told.
  std::optional<std::uint32_t> ServerPriority_ = std::nullopt;

  auto operator<=>(AttemptMetadata const &) const = default;
};

/// Classification of a server's answer.
enum class AnswerClaim {
  Succeeded, ///< 2xx with the server's signature.
  NotRun,    ///< The server refused the request before executing it.
  Failed,    ///< The server executed the request and reported a failure.
  /// Neither signed nor a refusal: the request may have run, and the answer
  /// must not be used.
  Untrusted,
};

/// How the duration of a backoff was determined.
enum class BackoffSource {
  AsRequested,
  Bounded, ///< The server requested more than the permitted maximum.
  Default, ///< The server's value could not be parsed.
};

/// A server's request that this instance send it nothing for a while (503 with
/// Retry-After).
struct BackoffRequest {
  Duration For_{};
  BackoffSource Origin_ = BackoffSource::AsRequested;

  auto operator<=>(BackoffRequest const &) const = default;
};

/// The request rate that a server accepts from all entry instances together, as
/// stated in an answer.
struct RateLimitStatement {
  /// Nothing if the value could not be parsed.
  std::optional<double> RequestsPerSecond_;
  std::string Text_; ///< As received, truncated, for logging.

  auto operator<=>(RateLimitStatement const &) const = default;
};

/// A decoded answer head.
struct ServerAnswer {
  AnswerClaim Claim_ = AnswerClaim::Untrusted;
  AnswerHead Head_; ///< As sent to the client.
  std::optional<ServerLoad> Load_;
  bool IsOtherServer_ = false; ///< Another server now has the address.
  bool IsLeaving_ = false;     ///< The server announced that it is leaving.
  std::optional<BackoffRequest> Backoff_;
  std::optional<RateLimitStatement> RateLimit_;
  /// The server crashes if it has to refuse more requests than this in a second
  /// for want of room, from all entry instances together.
  std::optional<double> MaxRefusalsPerSecond_;
  /// The process that answers has not identified itself.
  bool IsProcessUnidentified_ = false;
  /// What began the stream, if another entry instance states it.
  std::optional<StreamOrigin> Origin_;

  auto operator<=>(ServerAnswer const &) const = default;
};

/// Whether an answer belongs to the attempt that was sent.
enum class AnswerMatch {
  Ours,
  Unidentified, ///< The answer names no request.
  AnotherRequest,
};

/// How an attempt reaches a server.
enum class ServerAccess {
  Direct,
  ThroughPeer, ///< Another entry instance chooses the server.
};

/// Encodes and decodes the headers of requests and answers between clients,
/// this system and backend servers.
class TrafficCodec {
public:
  virtual ~TrafficCodec() = default;

  /// Error: InvalidArgument if the request is malformed.
  virtual Result<RequestMetadata> decode(RequestHead const &Head) const = 0;
  virtual RequestHead encode(RequestHead const &Received,
                             AttemptMetadata const &Attempt) const = 0;
  virtual AnswerMatch match(AnswerHead const &Head,
                            std::string const &AttemptId) const = 0;
  virtual ServerAnswer decode(AnswerHead const &Head) const = 0;
  /// Encodes a request that another entry instance is to take: the client's, as
  /// far as this instance has come with it.
  virtual RequestHead encodeForPeer(RequestHead const &Received,
                                    AttemptMetadata const &Attempt) const = 0;
  /// Like decode(), for a request that another entry instance passes on.
  virtual Result<RequestMetadata>
  decodeFromPeer(RequestHead const &Head) const = 0;
  /// Decodes an answer that came through another entry instance.
  virtual ServerAnswer decodeFromPeer(AnswerHead const &Head) const = 0;
  /// Builds the head of an answer that this system generates.
  virtual AnswerHead refusal(std::int32_t Status,
                             std::optional<Duration> RetryAfter,
                             std::string const &AttemptId) const = 0;
  /// Identifies servers by what processName() returns for their incarnation.
  virtual ProcessIdentifier const &serverIdentifier() const = 0;
};

} // namespace laburnum
