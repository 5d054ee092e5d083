#include "RateLimitedFleet.h"

#include <RateLimits/RateLimitWindow.h>

#include <algorithm>

namespace laburnum::rate_limits {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ServiceName const Writer("writer");
constexpr Duration Step = milliseconds(10);
constexpr Duration WorkTime = milliseconds(60);
constexpr Duration MessageDelay = milliseconds(20);
constexpr Duration RepeatPeriod = seconds(2);

/// Instances and servers alternate between two regions.
DataCentre centreOf(std::size_t Number) {
  return DataCentre(Number % 2 == 0 ? "a" : "b");
}

ServerRecord record(std::size_t Number) {
  ServerRecord Made;
  Made.DataCentre_ = centreOf(Number);
  Made.Id_ = ServerId("s" + std::to_string(Number));
  Made.IncarnationStartMilliseconds_ = 1;
  Made.Service_ = Writer;
  Made.Endpoint_ = {"10.0.0.1", static_cast<std::uint16_t>(Number + 1)};
  Made.Slots_ = 24;
  return Made;
}

std::string nameOf(std::size_t Instance) {
  return "10.1.0." + std::to_string(Instance);
}

} // namespace

RateLimitedFleet::RateLimitedFleet(Settings Settings)
    : Settings_(Settings), Generator_(Settings.Seed_) {
  for (std::size_t Each = 0; Each < Settings.Servers_; ++Each)
    Servers_.push_back({record(Each), {}, {}});
  Instances_.resize(Settings.Instances_);
  for (std::size_t Each = 0; Each < Instances_.size(); ++Each) {
    Instances_[Each].Demand_ = Settings.RequestsPerSecond_;
    start(Each);
  }
  updateFleet();
}

void RateLimitedFleet::start(std::size_t Number) {
  auto &One = Instances_[Number];
  One.Roster_ = std::make_unique<ServerRoster>(
      Geography{centreOf(Number),
                {{DataCentre("a"), "north"}, {DataCentre("b"), "south"}}},
      Generator_());
  One.Queue_ = std::make_unique<AdmissionQueue>(*One.Roster_);
  One.QueuedSince_.clear();
  for (auto const &Server : Servers_)
    One.Roster_->update(Server.Record_);
}

bool RateLimitedFleet::areConnected(std::size_t Left, std::size_t Right) const {
  return CutOff_.contains(Left) == CutOff_.contains(Right);
}

void RateLimitedFleet::updateFleet() {
  auto const Registered = static_cast<std::size_t>(
      std::count_if(Instances_.begin(), Instances_.end(),
                    [](Instance const &One) { return !One.IsRemoved_; }));
  for (std::size_t Each = 0; Each < Instances_.size(); ++Each) {
    RateLimitFleet Fleet{nameOf(Each), {}, Registered};
    for (std::size_t Other = 0; Other < Instances_.size(); ++Other)
      if (!Instances_[Other].IsRemoved_ && areConnected(Each, Other))
        Fleet.Live_.push_back(
            {nameOf(Other), Settings_.Demand_ == DemandReports::Exchanged
                                ? Instances_[Other].Demand_
                                : 0.0});
    Instances_[Each].Roster_->rateLimiter().setFleet(Fleet, Now_);
  }
}

void RateLimitedFleet::state(std::size_t Server,
                             std::optional<double> RequestsPerSecond) {
  Servers_[Server].Limit_ = RequestsPerSecond;
}

void RateLimitedFleet::setDemand(std::size_t Instance,
                                 double RequestsPerSecond) {
  Instances_[Instance].Demand_ = RequestsPerSecond;
  updateFleet();
}

void RateLimitedFleet::restart(std::size_t Instance) {
  start(Instance);
  updateFleet();
}

void RateLimitedFleet::remove(std::size_t Instance) {
  Instances_[Instance].IsRemoved_ = true;
  updateFleet();
}

void RateLimitedFleet::cut(std::set<std::size_t> Instances) {
  CutOff_ = std::move(Instances);
  updateFleet();
}

void RateLimitedFleet::pass(Duration Time) {
  for (auto const End = Now_ + Time; Now_ < End; Now_ += Step) {
    deliver();
    repeatLimits();
    for (std::size_t Each = 0; Each < Instances_.size(); ++Each) {
      if (Instances_[Each].IsRemoved_)
        continue;
      handle(Each, Instances_[Each].Queue_->advance(Now_));
      receiveRequests(Each);
    }
  }
}

void RateLimitedFleet::receiveRequests(std::size_t Number) {
  auto &One = Instances_[Number];
  auto const Mean = One.Demand_ * std::chrono::duration<double>(Step).count();
  if (Mean <= 0.0)
    return;
  for (auto Left = std::poisson_distribution<int>(Mean)(Generator_); Left > 0;
       --Left) {
    auto const Ticket = NextTicket_++;
    One.QueuedSince_[Ticket] = Now_;
    handle(Number,
           One.Queue_->add(
               {Ticket, {Writer, {}, {}}, 0, Now_ + Settings_.MaxQueueTime_},
               Now_));
  }
}

void RateLimitedFleet::handle(std::size_t Number,
                              std::vector<AdmissionOutcome> const &Outcomes) {
  auto &One = Instances_[Number];
  for (auto const &Outcome : Outcomes) {
    if (auto const *const Rejection = std::get_if<Rejected>(&Outcome)) {
      Refusals_.push_back({Now_ - One.QueuedSince_[Rejection->Ticket_],
                           Rejection->RetryAfter_});
      One.QueuedSince_.erase(Rejection->Ticket_);
      continue;
    }
    auto const &Admission = std::get<Admitted>(Outcome);
    One.QueuedSince_.erase(Admission.Ticket_);
    ++Served_;
    auto const Server = static_cast<std::size_t>(
        std::stoul(Admission.Server_.Id_.text().substr(1)));
    Servers_[Server].Arrivals_.push_back({Now_, Number});
    Answers_.emplace(Now_ + WorkTime,
                     Answer{Number, Server, Now_, Servers_[Server].Limit_,
                            One.Roster_.get()});
  }
}

void RateLimitedFleet::deliver() {
  while (!Answers_.empty() && Answers_.begin()->first <= Now_)
    onAnswer(Answers_.extract(Answers_.begin()).mapped());
  while (!Messages_.empty() && Messages_.begin()->first <= Now_) {
    auto const Received = Messages_.extract(Messages_.begin()).mapped();
    for (auto const &Limit : Received.Limits_.Limits_)
      Instances_[Received.To_].Roster_->rateLimiter().onPeerLimit(Limit, Now_);
  }
}

void RateLimitedFleet::onAnswer(Answer const &Received) {
  auto &Roster = *Instances_[Received.Instance_].Roster_;
  if (&Roster != Received.Sender_)
    return;
  auto const &Record = Servers_[Received.Server_].Record_;
  auto const Incarnation = incarnationOf(Record);
  Roster.onEnded(Record, AttemptHealth::Worked, Now_);
  auto &Limiter = Roster.rateLimiter();
  auto const Change =
      Received.Limit_
          ? Limiter.onStated(Incarnation, *Received.Limit_, Now_)
          : Limiter.onNotStated(Incarnation, Received.SentAt_, Now_);
  if (Change != RateLimitChange::Changed)
    return;
  for (std::size_t Other = 0; Other < Instances_.size(); ++Other)
    send(Received.Instance_, Other, {{*Limiter.find(Incarnation, Now_)}});
}

void RateLimitedFleet::send(std::size_t From, std::size_t To,
                            ServerRateLimits const &Limits) {
  if (From != To && areConnected(From, To) && !AreMessagesLost_)
    Messages_.emplace(Now_ + MessageDelay, Message{To, Limits});
}

void RateLimitedFleet::repeatLimits() {
  if (Now_ < NextRepeat_ || Instances_.size() < 2)
    return;
  NextRepeat_ = Now_ + RepeatPeriod;
  std::uniform_int_distribution<std::size_t> Any(0, Instances_.size() - 1);
  for (std::size_t Each = 0; Each < Instances_.size(); ++Each)
    send(Each, Any(Generator_),
         {Instances_[Each].Roster_->rateLimiter().limits(Now_)});
}

std::size_t
RateLimitedFleet::mostInWindow(std::size_t Server, TimePoint From,
                               std::set<std::size_t> const &Excused) const {
  std::vector<TimePoint> Times;
  for (auto const &One : Servers_[Server].Arrivals_)
    if (One.At_ >= From && !Excused.contains(One.Instance_))
      Times.push_back(One.At_);
  return rate_limits::mostInWindow(Times);
}

std::size_t RateLimitedFleet::arrivals(std::size_t Server,
                                       TimePoint From) const {
  auto const &All = Servers_[Server].Arrivals_;
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(),
                    [&](Arrival const &One) { return One.At_ >= From; }));
}

} // namespace laburnum::rate_limits
