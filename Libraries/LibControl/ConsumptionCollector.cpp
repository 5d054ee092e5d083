#include <LibControl/ConsumptionCollector.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace laburnum {

namespace {

/// Collectors by rank; the second makes good for the loss of the first.
constexpr std::size_t Collectors = 2;
/// How often each tells every other one.
constexpr std::chrono::milliseconds DirectPeriod{250};
/// How often all report to collectors, at least: two messages each time ...
constexpr std::chrono::milliseconds LeastPeriod{400};
/// ... but a collector hears no more than five hundred reports a second, which
/// costs it three hundredths of a core.
constexpr std::chrono::milliseconds PeriodPerInstance{2};
/// An instance that missed so many reports is not counted as heard.
constexpr int MissedReports = 4;
/// Lives that were silent for so long are forgotten.
constexpr std::chrono::seconds LifeRetention{60};
/// Until the next holder has taken the lease over and is heard.
constexpr std::chrono::seconds TakeoverTime{7};

} // namespace

ConsumptionCollector::ConsumptionCollector(EntryInstance Self)
    : Self_(std::move(Self)), Live_{Self_}, Tree_(Self_) {}

Duration ConsumptionCollector::period() const {
  return isDirect() ? DirectPeriod
                    : std::max<Duration>(LeastPeriod,
                                         PeriodPerInstance * Live_.size());
}

bool ConsumptionCollector::isFresh(TimePoint HeardAt, TimePoint Now) const {
  return HeardAt + period() * MissedReports >= Now;
}

void ConsumptionCollector::setMembers(std::vector<Member> const &Members,
                                      TimePoint Now) {
  Live_ = liveInstances(Self_, Members);
  First_ = rendezvousOrder("collectors", Live_, placeName);
  First_.resize(std::min(First_.size(), Collectors));
  std::set<Endpoint> Origins;
  for (auto const &One : First_)
    Origins.insert(One.Peers_);
  Tree_.setMembers(Live_, std::move(Origins));
  forget(Now);
  chooseCollectors(Now);
}

void ConsumptionCollector::forget(TimePoint Now) {
  auto const IsOld = [&](auto const &One) {
    return One.second.HeardAt_ + LifeRetention < Now;
  };
  std::erase_if(Lives_, IsOld);
  std::erase_if(Origins_, IsOld);
}

void ConsumptionCollector::setDuty(CollectorDuty Duty, TimePoint Now) {
  Duty_ = Duty;
  chooseCollectors(Now);
}

void ConsumptionCollector::chooseCollectors(TimePoint Now) {
  bool const Collects = !isDirect() && (Duty_ == CollectorDuty::HoldsLease ||
                                        std::find(First_.begin(), First_.end(),
                                                  Self_) != First_.end());
  if (!Collects)
    CollectsSince_.reset();
  else if (!CollectsSince_)
    CollectsSince_ = Now;
}

std::vector<Endpoint> ConsumptionCollector::targets(TimePoint Now) const {
  std::set<Endpoint> Targets;
  for (auto const &One : First_)
    Targets.insert(One.Peers_);
  for (auto const &[Id, One] : Origins_)
    if (isFresh(One.HeardAt_, Now))
      Targets.insert(One.Peers_);
  Targets.erase(Self_.Peers_);
  Targets.erase(Endpoint()); // An origin that is not known as a member yet.
  return {Targets.begin(), Targets.end()};
}

void ConsumptionCollector::onReport(InstanceId const &From,
                                    ConsumptionReport const &Report,
                                    TimePoint Now) {
  auto &Life = Lives_[From];
  Life.HeardAt_ = Now;
  for (auto const &Grown : Life.Told_.take(Report.Accounts_)) {
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
  if (Sum.Duty_ == CollectorDuty::HoldsLease)
    HolderHeardAt_ = Now;
  auto &Known = Origins_[Sum.Origin_];
  Known.HeardAt_ = Now;
  for (auto const &One : Live_)
    if (One.Id_ == Sum.Origin_)
      Known.Peers_ = One.Peers_;
  return std::move(*Children);
}

ConsumptionSum ConsumptionCollector::sum(Duration TimeOfDay, TimePoint Now) {
  forget(Now);
  ConsumptionSum Sum{Self_.Id_, ++Number_, Duty_, 0, {}, TimeOfDay};
  Sum.Lives_ = static_cast<std::uint32_t>(
      std::count_if(Lives_.begin(), Lives_.end(), [&](auto const &One) {
        return isFresh(One.second.HeardAt_, Now);
      }));
  for (auto const &[Account, One] : Sums_)
    Sum.Accounts_.push_back(One);
  return Sum;
}

bool ConsumptionCollector::isHolderHeard(TimePoint Now) const {
  return Duty_ == CollectorDuty::HoldsLease ||
         (HolderHeardAt_ && *HolderHeardAt_ + TakeoverTime >= Now);
}

bool ConsumptionCollector::isComplete(TimePoint Now) const {
  // Whoever becomes a collector is reported to one sum and one report later.
  constexpr int PeriodsUntilHeard = 3;
  return isDirect() || (CollectsSince_ &&
                        *CollectsSince_ + period() * PeriodsUntilHeard <= Now);
}

} // namespace laburnum
