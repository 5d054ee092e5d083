#include "RateLimitObserver.h"

namespace laburnum {

namespace {

/// Bounds the memory for incarnations with unreadable limits.
constexpr std::size_t MaxUnreadable = 256;
constexpr double MicroRequests = 1e6;

} // namespace

void RateLimitObserver::onAnswer(ServerRecord const &Server,
                                 ServerAnswer const &Answer, TimePoint SentAt,
                                 TimePoint Now) {
  auto const Incarnation = incarnationOf(Server);
  auto Change = RateLimitChange::None;
  if (Answer.RateLimit_) {
    Metrics_.RateLimitsAnnounced_.add();
    if (!Answer.RateLimit_->RequestsPerSecond_)
      return onUnreadable(Incarnation, Answer.RateLimit_->Text_);
    Change = Limiter_.onStated(Incarnation,
                               *Answer.RateLimit_->RequestsPerSecond_, Now);
  } else if (Answer.Claim_ == AnswerClaim::Succeeded) {
    Change = Limiter_.onNotStated(Incarnation, SentAt, Now);
  }
  if (Change != RateLimitChange::Changed)
    return;
  log(Incarnation, "the server's answer", Now);
  if (Listener_)
    Listener_({{*Limiter_.find(Incarnation, Now)}});
}

void RateLimitObserver::onUnreadable(ServerId const &Incarnation,
                                     std::string_view Text) {
  Metrics_.RateLimitsUnreadable_.add();
  if (Unreadable_.size() >= MaxUnreadable)
    Unreadable_.clear();
  if (Unreadable_.insert(Incarnation).second)
    Log_.write(LogLine("server_limited")
                   .add("life", Incarnation.text())
                   .add("outcome", "unreadable")
                   .add("value", Text));
}

void RateLimitObserver::onPeer(ServerRateLimits const &Received,
                               TimePoint Now) {
  for (auto const &Limit : Received.Limits_)
    if (Limiter_.onPeerLimit(Limit, Now) == RateLimitChange::Changed)
      log(Limit.Incarnation_, "a peer", Now);
}

void RateLimitObserver::log(ServerId const &Incarnation,
                            std::string_view Source, TimePoint Now) const {
  auto const Limit = Limiter_.find(Incarnation, Now);
  if (!Limit)
    return;
  bool const IsInForce = Limit->State_ == RateLimitState::InForce;
  LogLine Line("server_limited");
  Line.add("life", Incarnation.text())
      .add("outcome", IsInForce ? "stated" : "lifted");
  if (IsInForce)
    Line.add("per_second", static_cast<double>(Limit->MicroRequestsPerSecond_) /
                               MicroRequests)
        .add("local_per_second", Limiter_.localRate(Incarnation));
  Log_.write(Line.add("source", Source).add("age_ms", Limit->Age_));
}

} // namespace laburnum
