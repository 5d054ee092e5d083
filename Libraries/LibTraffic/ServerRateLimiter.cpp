#include <LibTraffic/ServerRateLimiter.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace laburnum {

namespace {

/// Burst of a limit: the requests of this time, but no more than those of
/// MaxBurstSeconds and MaxExtraBurst on top of it.
constexpr double BurstSeconds = 2.0;
constexpr double MaxBurstSeconds = 1.0;
constexpr double MaxExtraBurst = 4.0;
/// A server whose limit is lower still gets requests at this rate, because only
/// its answers can tell that the limit was lifted.
constexpr double MinRequestsPerSecond = 0.1;
/// An owner's share of a rate counts at least this fraction of the instances'
/// mean demand, so that its first requests find tokens.
constexpr double MinDemandFraction = 0.1;
/// Share of a limit that an instance uses before it knows the number of
/// instances.
constexpr double ShareBeforeMembership = 0.1;
/// A limit is in force for at least this long, because answers overtake each
/// other.
constexpr std::chrono::milliseconds MinTimeInForce{500};
/// Relative change of a limit that the other instances are notified of at once.
constexpr double NotifiedChange = 0.1;
/// A limit is dropped when no answer stated it for this long.
constexpr std::chrono::minutes Retention{10};
/// Rounding errors must not delay a token.
constexpr double WholeToken = 1.0 - 1e-9;
constexpr double MicroRequests = 1e6;
/// Higher rates limit nothing and are treated like this one.
constexpr double MaxRequestsPerSecond = 1e9;

double seconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

double burstOf(double RequestsPerSecond) {
  return std::max(
      1.0, std::min(BurstSeconds * RequestsPerSecond,
                    MaxBurstSeconds * RequestsPerSecond + MaxExtraBurst));
}

double tokensOf(double Tokens, double Rate, double Depth, double Elapsed) {
  return std::max(Tokens,
                  std::min(Depth, Tokens + std::max(0.0, Elapsed) * Rate));
}

} // namespace

double ServerRateLimiter::reachableShare() const {
  if (Fleet_.Registered_ == 0)
    return ShareBeforeMembership;
  auto const Live = static_cast<double>(Fleet_.Live_.size());
  return Live / std::max(Live, static_cast<double>(Fleet_.Registered_));
}

void ServerRateLimiter::assignShare(ServerId const &Incarnation,
                                    Limit &One) const {
  auto const FleetRate = std::max(One.RequestsPerSecond_, MinRequestsPerSecond);
  auto const Rate = FleetRate * reachableShare();
  auto const Burst = std::max(1.0, burstOf(FleetRate) * reachableShare());
  auto Owners =
      rendezvousOrder(Incarnation.text(), Fleet_.Live_,
                      [](RateLimitSharer const &Sharer) -> std::string const & {
                        return Sharer.Name_;
                      });
  Owners.resize(static_cast<std::size_t>(
      std::min(std::floor(Burst), static_cast<double>(Owners.size()))));
  One.LocalRate_ = 0.0;
  One.Depth_ = 0.0;
  auto const MinDemand = MinDemandFraction * meanDemand();
  auto const WeightOf = [&](RateLimitSharer const &Owner) {
    return MinDemand > 0.0 ? Owner.Demand_ + MinDemand : 1.0;
  };
  double Weights = 0.0;
  for (auto const &Owner : Owners)
    Weights += WeightOf(Owner);
  for (auto const &Owner : Owners)
    if (Owner.Name_ == Fleet_.Self_) {
      One.LocalRate_ = Rate * WeightOf(Owner) / Weights;
      One.Depth_ = Burst / static_cast<double>(Owners.size());
    }
}

double ServerRateLimiter::meanDemand() const {
  double Total = 0.0;
  for (auto const &Sharer : Fleet_.Live_)
    Total += Sharer.Demand_;
  return Fleet_.Live_.empty()
             ? 0.0
             : Total / static_cast<double>(Fleet_.Live_.size());
}

void ServerRateLimiter::setFleet(RateLimitFleet Fleet, TimePoint Now) {
  Fleet_ = std::move(Fleet);
  forget(Now);
  for (auto &[Incarnation, One] : Limits_) {
    fill(One, Now);
    assignShare(Incarnation, One);
  }
}

void ServerRateLimiter::fill(Limit &One, TimePoint Now) {
  One.Tokens_ = tokensOf(One.Tokens_, One.LocalRate_, One.Depth_,
                         seconds(Now - One.FilledAt_));
  One.FilledAt_ = std::max(One.FilledAt_, Now);
}

void ServerRateLimiter::forget(TimePoint Now) {
  std::erase_if(Limits_, [&](auto const &Entry) {
    return Entry.second.ObservedAt_ + Retention <= Now;
  });
}

RateLimitChange ServerRateLimiter::observe(ServerId const &Incarnation,
                                           RateLimitState State,
                                           double RequestsPerSecond,
                                           TimePoint ObservedAt,
                                           TimePoint Now) {
  auto const [Found, IsNew] = Limits_.try_emplace(Incarnation);
  auto &One = Found->second;
  if (!IsNew && ObservedAt <= One.ObservedAt_)
    return RateLimitChange::None;
  One.ObservedAt_ = ObservedAt;
  auto const OldState = std::exchange(One.State_, State);
  auto const OldRate = std::exchange(One.RequestsPerSecond_, RequestsPerSecond);
  if (!IsNew && OldState == State && OldRate == RequestsPerSecond)
    return RateLimitChange::None;
  if (IsNew || OldState != State) {
    // A random level spreads the first requests of the owners.
    One.Tokens_ = std::uniform_real_distribution<double>(0.0, 1.0)(Generator_);
    One.FilledAt_ = Now;
  }
  fill(One, Now);
  assignShare(Incarnation, One);
  One.Tokens_ = std::min(One.Tokens_, std::max(1.0, One.Depth_));
  bool const IsNotable =
      IsNew || OldState != State ||
      std::abs(RequestsPerSecond - One.NotifiedRequestsPerSecond_) >
          NotifiedChange * One.NotifiedRequestsPerSecond_;
  if (!IsNotable)
    return RateLimitChange::Adjusted;
  One.NotifiedRequestsPerSecond_ = RequestsPerSecond;
  return RateLimitChange::Changed;
}

RateLimitChange ServerRateLimiter::onStated(ServerId const &Incarnation,
                                            double RequestsPerSecond,
                                            TimePoint Now) {
  forget(Now);
  return observe(Incarnation, RateLimitState::InForce,
                 std::min(RequestsPerSecond, MaxRequestsPerSecond), Now, Now);
}

RateLimitChange ServerRateLimiter::onNotStated(ServerId const &Incarnation,
                                               TimePoint SentAt,
                                               TimePoint Now) {
  auto const *const One = findInForce(Incarnation);
  if (!One || SentAt < One->ObservedAt_ + MinTimeInForce)
    return RateLimitChange::None;
  return observe(Incarnation, RateLimitState::Lifted, 0.0, Now, Now);
}

RateLimitChange ServerRateLimiter::onPeerLimit(ServerRateLimit const &Limit,
                                               TimePoint Now) {
  if (Limit.Age_ < Duration(0) || Limit.Age_ >= Retention)
    return RateLimitChange::None;
  return observe(Limit.Incarnation_, Limit.State_,
                 std::min(static_cast<double>(Limit.MicroRequestsPerSecond_) /
                              MicroRequests,
                          MaxRequestsPerSecond),
                 Now - Limit.Age_, Now);
}

std::optional<ServerRateLimit>
ServerRateLimiter::find(ServerId const &Incarnation, TimePoint Now) const {
  auto const Found = Limits_.find(Incarnation);
  if (Found == Limits_.end())
    return std::nullopt;
  auto const &One = Found->second;
  return ServerRateLimit{Incarnation, One.State_,
                         static_cast<std::uint64_t>(std::llround(
                             One.RequestsPerSecond_ * MicroRequests)),
                         std::max(Now - One.ObservedAt_, Duration(0))};
}

std::vector<ServerRateLimit> ServerRateLimiter::limits(TimePoint Now) const {
  std::vector<ServerRateLimit> Known;
  for (auto const &[Incarnation, One] : Limits_)
    if (One.ObservedAt_ + Retention > Now)
      Known.push_back(*find(Incarnation, Now));
  return Known;
}

ServerRateLimiter::Limit const *
ServerRateLimiter::findInForce(ServerId const &Incarnation) const {
  auto const Found = Limits_.find(Incarnation);
  return Found == Limits_.end() ||
                 Found->second.State_ == RateLimitState::Lifted
             ? nullptr
             : &Found->second;
}

bool ServerRateLimiter::isLimited(ServerId const &Incarnation) const {
  return findInForce(Incarnation) != nullptr;
}

double ServerRateLimiter::tokensAt(ServerId const &Incarnation,
                                   TimePoint At) const {
  auto const *const One = findInForce(Incarnation);
  if (!One || One->LocalRate_ <= 0.0)
    return 0.0;
  return tokensOf(One->Tokens_, One->LocalRate_, One->Depth_,
                  seconds(At - One->FilledAt_));
}

double ServerRateLimiter::localRate(ServerId const &Incarnation) const {
  auto const *const One = findInForce(Incarnation);
  return One ? One->LocalRate_ : 0.0;
}

bool ServerRateLimiter::maySend(ServerId const &Incarnation,
                                TimePoint Now) const {
  return !isLimited(Incarnation) || tokensAt(Incarnation, Now) >= WholeToken;
}

void ServerRateLimiter::onSent(ServerId const &Incarnation, TimePoint Now) {
  auto const Found = Limits_.find(Incarnation);
  if (Found == Limits_.end() || Found->second.State_ == RateLimitState::Lifted)
    return;
  fill(Found->second, Now);
  Found->second.Tokens_ = std::max(0.0, Found->second.Tokens_ - 1.0);
}

} // namespace laburnum
