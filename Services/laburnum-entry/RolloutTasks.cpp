#include "RolloutTasks.h"

#include <LibControl/RolloutRecordCodec.h>
#include <LibCore/Hash.h>

#include <asio/post.hpp>

#include <algorithm>

namespace laburnum {

namespace {

constexpr std::chrono::milliseconds StoreTimeout{1500};
/// How often unchanged shares are sent again: three times before they lapse.
constexpr Duration SharePeriod = VersionShares::Validity / 3;

ObjectKey recordKey(ServiceName const &Service) {
  return {detail::RolloutRecordCollection, Service.text()};
}

} // namespace

RolloutTasks::RolloutTasks(RolloutDependencies Dependencies,
                           EntryInstance const &Self)
    : Dependencies_(Dependencies), Self_(Self), Tree_(Self),
      Controller_(std::make_unique<SequentialJudge>()) {}

void RolloutTasks::setMembers(std::vector<Member> const &Members,
                              std::set<Endpoint> Collectors) {
  Tree_.setMembers(liveInstances(Self_, Members), std::move(Collectors));
}

void RolloutTasks::setServers(std::vector<ServerRecord> const &Servers) {
  std::map<ServiceName, std::map<std::string, std::size_t>> Listed;
  for (auto const &Server : Servers)
    ++Listed[Server.Service_][Server.SoftwareVersion_];
  Controller_.setListed(std::move(Listed));
}

void RolloutTasks::onListed(ObjectList const &Listed) {
  for (auto const &Known : Targets_)
    if (std::none_of(Listed.Objects_.begin(), Listed.Objects_.end(),
                     [&](StoredObject const &Object) {
                       return Object.Key_.Name_ == Known.first.text();
                     }))
      Controller_.removeOrder(Known.first);
  Targets_.clear();
  for (auto const &Object : Listed.Objects_)
    setOrder(Object);
  publishTargets();
}

void RolloutTasks::onChanged(WatchBatch const &Changes) {
  for (auto const &Object : Changes.Objects_)
    setOrder(Object);
  publishTargets();
}

void RolloutTasks::setOrder(StoredObject const &Object) {
  ServiceName const Service(Object.Key_.Name_);
  Targets_.erase(Service);
  if (Object.Version_ == 0)
    return Controller_.removeOrder(Service);
  auto Decoded = Dependencies_.Codec_.decodeRollout(Object);
  if (auto const *const Order = std::get_if<RolloutOrder>(&Decoded))
    Targets_[Service] = Order->Target_;
  Controller_.setOrder(Service, Object.Version_,
                       std::max<std::uint64_t>(stableHash(Object.Value_), 1),
                       std::move(Decoded));
}

void RolloutTasks::publishTargets() {
  asio::post(Dependencies_.TrafficContext_,
             [&Traffic = Dependencies_.Traffic_, Targets = Targets_] {
               Traffic.setRolloutTargets(Targets);
             });
}

void RolloutTasks::tick(std::optional<std::uint64_t> Fence, Duration TimeOfDay,
                        TimePoint Now) {
  if (Fence != Fence_) {
    Records_ = Records::Unknown;
    ReadPause_ = {};
  }
  Fence_ = Fence;
  if (!Fence_ || !Controller_.hasOrders() || !Peers_)
    return;
  if (Records_ == Records::Unknown && ReadPause_.isOver(Now))
    return readRecords();
  if (Records_ != Records::Known)
    return;
  for (auto const &Action : Controller_.advance(TimeOfDay, Now))
    std::visit([this](auto const &Kind) { perform(Kind); }, Action);
  sendShares(Now);
}

void RolloutTasks::readRecords() {
  Records_ = Records::Reading;
  Dependencies_.Store_.list(
      detail::RolloutRecordCollection, ReadConsistency::Latest, StoreTimeout,
      [this](Result<ObjectList> const &Read) {
        if (isError(Read)) {
          Records_ = Records::Unknown;
          ReadPause_.onFailure(errorOf(Read).Kind_, readBootClock());
          return;
        }
        ReadPause_.onSuccess();
        for (auto const &Object : valueOf(Read).Objects_)
          Controller_.setRecord(ServiceName(Object.Key_.Name_),
                                detail::decodeRolloutRecord(Object.Value_),
                                Object.Version_);
        Records_ = Records::Known;
      });
}

void RolloutTasks::perform(rollout::WriteRecord const &Action) {
  auto const Service = Action.Record_.What_.Service_;
  Dependencies_.Store_.putIf(
      recordKey(Service), Action.Expected_, detail::encode(Action.Record_),
      StoreTimeout,
      [this, Service, Record = Action.Record_](Result<Version> const &Written) {
        if (!isError(Written))
          return Controller_.setRecord(Service, Record, valueOf(Written));
        // Whether it took effect, and who wrote meanwhile, shows the store.
        Dependencies_.Log_.write(LogLine("rollout_write_failed")
                                     .add("service", Service.text())
                                     .add("why", toString(errorOf(Written))));
        Controller_.onWriteFailed(Service, errorOf(Written).Kind_,
                                  readBootClock());
        Records_ = Records::Unknown;
      });
}

void RolloutTasks::perform(rollout::WriteStatus const &Action) {
  Dependencies_.Store_.putStatusIf(
      {Dependencies_.Codec_.rolloutCollection(), Action.Service_.text()},
      Action.Expected_,
      Dependencies_.Codec_.encodeRolloutStatus(Action.Target_, Action.Stage_),
      StoreTimeout,
      [this, Service = Action.Service_](Result<Version> const &Written) {
        if (isError(Written))
          return Controller_.onStatusFailed(Service, errorOf(Written).Kind_,
                                            readBootClock());
        Controller_.onStatusWritten(Service);
      });
}

void RolloutTasks::perform(rollout::StageDecided const &Action) {
  Dependencies_.Metrics_.RolloutSteps_.add();
  Dependencies_.Log_.write(
      LogLine("rollout")
          .add("service", Action.Service_.text())
          .add("version", Action.Target_)
          .add("outcome", detail::toString(Action.Stage_))
          .add("answers", Action.TargetAnswers_.Answers_)
          .add("bad", Action.TargetAnswers_.Bad_)
          .add("others_answers", Action.OtherAnswers_.Answers_)
          .add("others_bad", Action.OtherAnswers_.Bad_)
          .add("fence", Fence_.value_or(0))
          .add("why", Action.Reason_));
}

void RolloutTasks::sendShares(TimePoint Now) {
  auto Current = Controller_.shares();
  bool const IsRenewal = Current == SentShares_;
  if (Current.empty() || (IsRenewal && SharesSentAt_ + SharePeriod > Now))
    return;
  SharesSentAt_ = Now;
  SentShares_ = Current;
  RolloutShares const Shares{Self_.Id_, ++Number_, *Fence_, std::move(Current)};
  for (auto const &Child : Tree_.rootChildren())
    Peers_->send({Child, Shares});
  apply(Shares);
}

void RolloutTasks::report(std::optional<std::vector<Endpoint>> const &Targets) {
  if (Targets_.empty() || !Peers_)
    return;
  asio::post(Dependencies_.TrafficContext_, [this, Targets] {
    auto const Report = Dependencies_.Traffic_.reportVersions();
    asio::post(Dependencies_.Context_, [this, Targets, Report] {
      Controller_.onReport(Self_.Id_, Report);
      if (!Targets)
        return Peers_->sendToAll(Report);
      for (auto const &Target : *Targets)
        Peers_->send({Target, Report});
    });
  });
}

void RolloutTasks::onPeer(InstanceId const &From, VersionReport const &Report) {
  Controller_.onReport(From, Report);
}

void RolloutTasks::onPeer(RolloutShares const &Shares) {
  auto const Children =
      Tree_.receive(Shares.Origin_, Shares.Number_, readBootClock());
  if (!Children)
    return;
  for (auto const &Child : *Children)
    Peers_->send({Child, Shares});
  apply(Shares);
}

void RolloutTasks::apply(RolloutShares const &Shares) {
  asio::post(Dependencies_.TrafficContext_,
             [&Traffic = Dependencies_.Traffic_, Shares] {
               Traffic.onRolloutShares(Shares);
             });
}

} // namespace laburnum
