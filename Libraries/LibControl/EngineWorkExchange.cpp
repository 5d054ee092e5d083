#include <LibControl/EngineWorkExchange.h>

#include <LibTraffic/ServiceWorkMeter.h>

#include <utility>

namespace laburnum {

namespace {

/// An instance's report is used until this many further ones are missed. What
/// an instance had sent that was killed is over by then, as its servers drop
/// the requests of closed connections.
constexpr int MissedReports = 3;

} // namespace

EngineWorkExchange::EngineWorkExchange(EntryInstance Self)
    : Self_(std::move(Self)), Tree_(Self_) {}

void EngineWorkExchange::setMembers(std::vector<Member> const &Members,
                                    std::set<Endpoint> Collectors) {
  Tree_.setMembers(liveInstances(Self_, Members), std::move(Collectors));
}

void EngineWorkExchange::onReport(InstanceId const &From,
                                  EngineWorkReport const &Report,
                                  TimePoint Now) {
  Reports_[From] = {Report, Now};
}

EngineWorkSum EngineWorkExchange::sum(TimePoint Now) {
  std::erase_if(Reports_, [&](auto const &Entry) {
    return Entry.second.At_ + Period_ * MissedReports < Now;
  });
  std::map<ServerId, ServerWork> Servers;
  std::vector<std::vector<ServiceWork>> Services;
  for (auto const &[Id, Received] : Reports_) {
    Services.push_back(Received.Report_.Services_);
    for (auto const &Work : Received.Report_.Servers_) {
      auto &Sum = Servers[Work.Incarnation_];
      Sum.Incarnation_ = Work.Incarnation_;
      Sum.UnreadTokens_ += Work.UnreadTokens_;
      Sum.MemoryTokens_ += Work.MemoryTokens_;
      Sum.PreferredPerSecond_ += Work.PreferredPerSecond_;
    }
  }
  EngineWorkSum Sum{Self_.Id_, ++Number_, {}, sumOf(Services)};
  for (auto const &[Id, Work] : Servers)
    Sum.Servers_.push_back(Work);
  return Sum;
}

std::optional<std::vector<Endpoint>>
EngineWorkExchange::onSum(EngineWorkSum const &Sum, TimePoint Now) {
  return Tree_.receive(Sum.Origin_, Sum.Number_, Now);
}

} // namespace laburnum
