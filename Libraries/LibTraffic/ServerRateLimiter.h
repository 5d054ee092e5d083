#pragma once

#include <LibCore/Time.h>
#include <LibPeer/ServerRateLimits.h>

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum {

/// An entry instance that shares the rate limits of backend servers.
struct RateLimitSharer {
  std::string Name_;
  /// Requests a second that reach the instance; 0 if unknown.
  double Demand_ = 0.0;

  auto operator<=>(RateLimitSharer const &) const = default;
};

struct RateLimitFleet {
  std::string Self_;
  /// Reachable instances, this one included.
  std::vector<RateLimitSharer> Live_;
  /// Instances in the store's list, reachable or not; 0 until it is known.
  std::size_t Registered_ = 0;

  auto operator<=>(RateLimitFleet const &) const = default;
};

/// How a statement of a server changed what is known of its limit.
enum class RateLimitChange {
  None,
  Adjusted, ///< By too little to notify the other instances.
  Changed,
};

/// Enforces the request rates that backend servers accept from all entry
/// instances together.
///
/// Only some instances, the owners of a server's limit, send requests to the
/// server, each with a token bucket that gets a share of the rate, according to
/// the demand at the owner. All instances compute the same owners by rendezvous
/// hashing, without exchanging messages for each request. A limit has no more
/// owners than its burst has tokens: more buckets of at least one token could
/// together release more requests at once than the server accepts. While
/// registered instances are unreachable, their part of the rate is left to
/// them.
class ServerRateLimiter {
public:
  explicit ServerRateLimiter(std::uint64_t Seed) : Generator_(Seed) {}

  void setFleet(RateLimitFleet Fleet, TimePoint Now);

  /// An answer of the server stated its limit.
  RateLimitChange onStated(ServerId const &Incarnation,
                           double RequestsPerSecond, TimePoint Now);
  /// A successful answer to a request that was sent at SentAt stated no limit.
  RateLimitChange onNotStated(ServerId const &Incarnation, TimePoint SentAt,
                              TimePoint Now);
  /// Takes in a limit that a peer knows.
  RateLimitChange onPeerLimit(ServerRateLimit const &Limit, TimePoint Now);
  /// Returns what is known of the incarnation's limit, if anything.
  std::optional<ServerRateLimit> find(ServerId const &Incarnation,
                                      TimePoint Now) const;
  std::vector<ServerRateLimit> limits(TimePoint Now) const;

  bool isLimited(ServerId const &Incarnation) const;
  /// Returns how many requests this instance may send to the limited server
  /// until that time if it sends none before.
  double tokensAt(ServerId const &Incarnation, TimePoint At) const;
  /// Returns the requests a second that this instance may send to the limited
  /// server; 0 if it owns no part of the limit.
  double localRate(ServerId const &Incarnation) const;
  /// Returns whether a request may be sent to the server, limited or not.
  bool maySend(ServerId const &Incarnation, TimePoint Now) const;
  void onSent(ServerId const &Incarnation, TimePoint Now);

private:
  struct Limit {
    RateLimitState State_ = RateLimitState::InForce;
    double RequestsPerSecond_ = 0.0;
    TimePoint ObservedAt_ = TimePoint::min();
    /// The value that the other instances were last notified of.
    double NotifiedRequestsPerSecond_ = 0.0;
    double LocalRate_ = 0.0; ///< Share of this instance.
    double Depth_ = 0.0;     ///< Maximum of Tokens_.
    double Tokens_ = 0.0;
    TimePoint FilledAt_{};
  };

  Limit const *findInForce(ServerId const &Incarnation) const;
  /// Applies a statement that was observed at that time.
  RateLimitChange observe(ServerId const &Incarnation, RateLimitState State,
                          double RequestsPerSecond, TimePoint ObservedAt,
                          TimePoint Now);
  /// Adds the tokens that have accrued until Now.
  static void fill(Limit &One, TimePoint Now);
  /// Computes whether this instance is an owner, and its share.
  void assignShare(ServerId const &Incarnation, Limit &One) const;
  double reachableShare() const;
  double meanDemand() const;
  void forget(TimePoint Now);

  RateLimitFleet Fleet_;
  std::mt19937_64 Generator_;
  std::map<ServerId, Limit> Limits_;
};

} // namespace laburnum
