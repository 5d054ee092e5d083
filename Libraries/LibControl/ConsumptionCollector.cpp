#include <LibControl/ConsumptionCollector.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace laburnum {

namespace {

/// Collectors by rendezvous order; the second covers for the loss of the first.
constexpr std::size_t CollectorCount = 2;
/// Report period while each instance reports to every other one.
constexpr std::chrono::milliseconds DirectPeriod{250};
/// Minimum report period while reports go to collectors.
constexpr std::chrono::milliseconds MinPeriod{400};
/// Added per instance, so that a collector receives no more than five hundred
/// reports a second, which take three hundredths of a core.
constexpr std::chrono::milliseconds PeriodPerInstance{2};
/// An instance that missed this many reports counts as silent.
constexpr int MissedReports = 4;
/// Incarnations are dropped after being silent for this long.
constexpr std::chrono::seconds IncarnationRetention{60};
/// Time for another instance to take over the lease and send its first sum.
constexpr std::chrono::seconds TakeoverTime{7};

} // namespace

ConsumptionCollector::ConsumptionCollector(EntryInstance Self)
    : Self_(std::move(Self)), Live_{Self_}, Tree_(Self_) {}

Duration ConsumptionCollector::period() const {
  return isDirect()
             ? DirectPeriod
             : std::max<Duration>(MinPeriod, PeriodPerInstance * Live_.size());
}

bool ConsumptionCollector::isFresh(TimePoint LastReceivedAt,
                                   TimePoint Now) const {
  return LastReceivedAt + period() * MissedReports >= Now;
}

void ConsumptionCollector::setMembers(std::vector<Member> const &Members,
                                      TimePoint Now) {
  Live_ = liveInstances(Self_, Members);
  Collectors_ = rendezvousOrder("collectors", Live_, endpointKey);
  Collectors_.resize(std::min(Collectors_.size(), CollectorCount));
  Tree_.setMembers(Live_, collectors());
  forget(Now);
  chooseCollectors(Now);
}

void ConsumptionCollector::forget(TimePoint Now) {
  auto const IsOld = [&](auto const &Entry) {
    return Entry.second.LastReceivedAt_ + IncarnationRetention < Now;
  };
  std::erase_if(Incarnations_, IsOld);
  std::erase_if(Origins_, IsOld);
}

void ConsumptionCollector::setRole(CollectorRole Role, TimePoint Now) {
  Role_ = Role;
  chooseCollectors(Now);
}

void ConsumptionCollector::chooseCollectors(TimePoint Now) {
  bool const Collects =
      !isDirect() && (Role_ == CollectorRole::HoldsLease ||
                      std::find(Collectors_.begin(), Collectors_.end(),
                                Self_) != Collectors_.end());
  if (!Collects)
    CollectorSince_.reset();
  else if (!CollectorSince_)
    CollectorSince_ = Now;
}

std::set<Endpoint> ConsumptionCollector::collectors() const {
  std::set<Endpoint> Endpoints;
  for (auto const &Entry : Collectors_)
    Endpoints.insert(Entry.Peers_);
  return Endpoints;
}

std::vector<Endpoint> ConsumptionCollector::targets(TimePoint Now) const {
  auto Targets = collectors();
  for (auto const &[Id, Entry] : Origins_)
    if (isFresh(Entry.LastReceivedAt_, Now))
      Targets.insert(Entry.Peers_);
  Targets.erase(Self_.Peers_);
  Targets.erase(Endpoint()); // An origin that is not known as a member yet.
  return {Targets.begin(), Targets.end()};
}

void ConsumptionCollector::onReport(InstanceId const &From,
                                    ConsumptionReport const &Report,
                                    TimePoint Now) {
  auto &Incarnation = Incarnations_[From];
  Incarnation.LastReceivedAt_ = Now;
  for (auto const &Grown : Incarnation.Consumption_.take(Report.Accounts_)) {
    auto &Sum = Sums_[Grown.Account_];
    Sum.Account_ = Grown.Account_;
    Sum.Admitted_ += Grown.Admitted_;
    Sum.Asked_ += Grown.Asked_;
  }
}

std::vector<Endpoint> ConsumptionCollector::onSum(ConsumptionSum const &Sum,
                                                  TimePoint Now) {
  auto Children = Tree_.receive(Sum.Origin_, Sum.Number_, Now);
  if (!Children)
    return {};
  if (Sum.Role_ == CollectorRole::HoldsLease)
    HolderLastReceivedAt_ = Now;
  auto &OriginEntry = Origins_[Sum.Origin_];
  OriginEntry.LastReceivedAt_ = Now;
  for (auto const &Entry : Live_)
    if (Entry.Id_ == Sum.Origin_)
      OriginEntry.Peers_ = Entry.Peers_;
  return std::move(*Children);
}

ConsumptionSum ConsumptionCollector::sum(Duration TimeOfDay, TimePoint Now) {
  forget(Now);
  ConsumptionSum Sum{Self_.Id_, ++Number_, Role_, 0, {}, TimeOfDay};
  Sum.Incarnations_ = static_cast<std::uint32_t>(std::count_if(
      Incarnations_.begin(), Incarnations_.end(), [&](auto const &Entry) {
        return isFresh(Entry.second.LastReceivedAt_, Now);
      }));
  for (auto const &[Account, Entry] : Sums_)
    Sum.Accounts_.push_back(Entry);
  return Sum;
}

bool ConsumptionCollector::isHolderReporting(TimePoint Now) const {
  return Role_ == CollectorRole::HoldsLease ||
         (HolderLastReceivedAt_ &&
          *HolderLastReceivedAt_ + TakeoverTime >= Now);
}

bool ConsumptionCollector::isComplete(TimePoint Now) const {
  // A new collector receives reports only after the others have received its
  // first sum and sent their next report.
  constexpr int PeriodsUntilHeard = 3;
  return isDirect() || (CollectorSince_ &&
                        *CollectorSince_ + period() * PeriodsUntilHeard <= Now);
}

} // namespace laburnum
