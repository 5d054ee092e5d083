#include <LibTraffic/AdmissionQueue.h>

#include <algorithm>

namespace laburnum {

namespace {

/// Retry-After of a request that found every server full: by then each slot has
/// served one more request.
constexpr std::chrono::milliseconds RetryAfterFull{400};
/// Retry-After of a request whose service has no server: the list of servers
/// follows changes within about a second.
constexpr std::chrono::milliseconds RetryAfterNoServer{700};

} // namespace

std::size_t AdmissionQueue::countAhead(WaitingRequest const &Request) const {
  auto const End =
      Waiting_.lower_bound(QueueKey{Request.Rank_, Request.Ticket_});
  return static_cast<std::size_t>(
      std::count_if(Waiting_.begin(), End, [&](auto const &Pair) {
        return Pair.second.Query_.Service_ == Request.Query_.Service_;
      }));
}

std::optional<AdmissionOutcome>
AdmissionQueue::tryAdmit(WaitingRequest const &Request, std::size_t Ahead,
                         TimePoint Now) {
  if (auto const Server = Roster_.choose(Request.Query_, Now)) {
    Roster_.onSent(*Server, Now);
    return Admitted{Request.Ticket_, *Server};
  }
  auto const &Service = Request.Query_.Service_;
  if (Request.Query_.SoftwareVersion_ && !Roster_.hasMatch(Request.Query_))
    return Rejected{Request.Ticket_,
                    "no server of the stream's software version",
                    RetryAfterNoServer};
  if (auto const Exhausted =
          Roster_.exhaustion(Service, Ahead, Request.GiveUpAt_, Now))
    return Rejected{Request.Ticket_,
                    Exhausted->Cause_ == ExhaustionCause::Backoff
                        ? "every server asks for a pause"
                        : "every server is at its rate limit",
                    Exhausted->RetryAfter_};
  if (Now >= Request.GiveUpAt_ &&
      Request.Query_.VersionRequirement_ == VersionRequirement::Recorded &&
      !Roster_.hasMatch(Request.Query_) && Roster_.isServed(Service, Now))
    return Rejected{Request.Ticket_,
                    "the servers' software version is not recorded yet",
                    RetryAfterNoServer};
  if (Now >= Request.GiveUpAt_)
    return Roster_.isServed(Service, Now)
               ? Rejected{Request.Ticket_, "every server is full",
                          RetryAfterFull}
               : Rejected{Request.Ticket_, "no server takes requests",
                          RetryAfterNoServer};
  return std::nullopt;
}

std::vector<AdmissionOutcome> AdmissionQueue::add(WaitingRequest Request,
                                                  TimePoint Now) {
  if (auto Outcome = tryAdmit(Request, countAhead(Request), Now))
    return {std::move(*Outcome)};
  QueueKey const Key{Request.Rank_, Request.Ticket_};
  Waiting_.emplace(Key, std::move(Request));
  return {};
}

void AdmissionQueue::remove(std::uint64_t Ticket) {
  std::erase_if(Waiting_,
                [&](auto const &Pair) { return Pair.first.Ticket_ == Ticket; });
}

std::map<ServiceName, std::uint32_t> AdmissionQueue::waitingByService() const {
  std::map<ServiceName, std::uint32_t> Counts;
  for (auto const &[Key, Request] : Waiting_)
    ++Counts[Request.Query_.Service_];
  return Counts;
}

std::vector<AdmissionOutcome> AdmissionQueue::advance(TimePoint Now) {
  std::vector<AdmissionOutcome> Outcomes;
  std::map<ServiceName, std::size_t> StillQueued;
  for (auto Next = Waiting_.begin(); Next != Waiting_.end();) {
    auto &Ahead = StillQueued[Next->second.Query_.Service_];
    auto Outcome = tryAdmit(Next->second, Ahead, Now);
    if (!Outcome) {
      ++Ahead;
      ++Next;
      continue;
    }
    Outcomes.push_back(std::move(*Outcome));
    Next = Waiting_.erase(Next);
  }
  return Outcomes;
}

} // namespace laburnum
