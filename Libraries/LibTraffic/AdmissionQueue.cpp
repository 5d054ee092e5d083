#include <LibTraffic/AdmissionQueue.h>

namespace laburnum {

namespace {

/// Retry-After of a request that found every server full: by then each slot has
/// served one more request.
constexpr std::chrono::milliseconds RetryAfterFull{400};
/// Retry-After of a request whose service has no server: the list of servers
/// follows changes within about a second.
constexpr std::chrono::milliseconds RetryAfterNoServer{700};

} // namespace

std::optional<AdmissionOutcome>
AdmissionQueue::tryAdmit(WaitingRequest const &Request, TimePoint Now) {
  if (auto const Server = Roster_.choose(Request.Query_, Now)) {
    Roster_.onSent(Server->Id_);
    return Admitted{Request.Ticket_, *Server};
  }
  auto const &Service = Request.Query_.Service_;
  if (auto const RetryAfter =
          Roster_.retryAfterBackoff(Service, Request.GiveUpAt_, Now))
    return Rejected{Request.Ticket_, "every server asks for a pause",
                    *RetryAfter};
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
  if (auto Outcome = tryAdmit(Request, Now))
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
  for (auto Next = Waiting_.begin(); Next != Waiting_.end();) {
    auto Outcome = tryAdmit(Next->second, Now);
    if (!Outcome) {
      ++Next;
      continue;
    }
    Outcomes.push_back(std::move(*Outcome));
    Next = Waiting_.erase(Next);
  }
  return Outcomes;
}

} // namespace laburnum
