#pragma once

#include <LibFleet/Member.h>

#include <random>
#include <set>
#include <string>
#include <vector>

namespace laburnum {

/// Decides which instances receive the servers' rate limits beside the changes,
/// which go to all: each new instance gets them from two others, and every few
/// seconds one other instance gets them, because messages can be lost.
class RateLimitDissemination {
public:
  RateLimitDissemination(EntryInstance Self, std::uint64_t Seed)
      : Self_(std::move(Self)), Generator_(Seed) {}

  /// Returns the new instances that this one has to send all limits to.
  std::vector<Endpoint> setMembers(std::vector<Member> const &Members);
  /// Returns all other live instances.
  std::vector<Endpoint> others() const;
  /// Returns one other live instance at random, if there is any.
  std::vector<Endpoint> randomOther();
  /// Returns the live instances, which share the limits. An instance that is
  /// leaving leaves its part to the others.
  std::vector<EntryInstance> sharers(Liveness Self) const;

private:
  EntryInstance const Self_;
  std::mt19937_64 Generator_;
  std::vector<EntryInstance> Live_; ///< This instance included.
  std::set<InstanceId> Known_;
};

} // namespace laburnum
