#include "RateLimitTasks.h"

#include <LibControl/BroadcastTree.h>

namespace laburnum {

namespace {

constexpr std::chrono::seconds Period{2};

} // namespace

RateLimitTasks::RateLimitTasks(RateLimitDependencies Dependencies,
                               EntryInstance const &Self, std::uint64_t Seed)
    : Dependencies_(std::move(Dependencies)), Dissemination_(Self, Seed),
      Self_(Self), Timer_(Dependencies_.Context_) {}

void RateLimitTasks::start(std::shared_ptr<PeerNetwork> Peers) {
  Peers_ = std::move(Peers);
  Dependencies_.Traffic_.setRateLimitListener(
      [this](ServerRateLimits const &Changed) {
        asio::post(Dependencies_.Context_,
                   [this, Changed] { send(Dissemination_.others(), Changed); });
      });
  tick();
}

void RateLimitTasks::setFleet(FleetView const &View, Liveness Self) {
  Liveness_ = Self;
  Registered_ = View.Registered_;
  auto const Introduced = Dissemination_.setMembers(View.Members_);
  updateFleet();
  sendAll(Introduced);
}

void RateLimitTasks::updateFleet() {
  auto const Now = readBootClock();
  RateLimitFleet Fleet{endpointKey(Self_), {}, Registered_};
  for (auto const &Sharer : Dissemination_.sharers(Liveness_))
    Fleet.Live_.push_back(
        {endpointKey(Sharer), Dependencies_.DemandAt_(Sharer.Id_, Now)});
  asio::post(Dependencies_.TrafficContext_,
             [&Traffic = Dependencies_.Traffic_, Fleet = std::move(Fleet)] {
               Traffic.setRateLimitFleet(Fleet);
             });
}

void RateLimitTasks::onPeer(ServerRateLimits const &Received) {
  asio::post(Dependencies_.TrafficContext_,
             [&Traffic = Dependencies_.Traffic_, Received] {
               Traffic.onPeerRateLimits(Received);
             });
}

void RateLimitTasks::send(std::vector<Endpoint> const &To,
                          ServerRateLimits const &Limits) {
  if (!Peers_ || Limits.Limits_.empty())
    return;
  for (auto const &Receiver : To)
    Peers_->send({Receiver, Limits});
}

void RateLimitTasks::sendAll(std::vector<Endpoint> const &To) {
  if (To.empty())
    return;
  asio::post(Dependencies_.TrafficContext_, [this, To] {
    ServerRateLimits const Known{Dependencies_.Traffic_.rateLimits()};
    asio::post(Dependencies_.Context_, [this, To, Known] { send(To, Known); });
  });
}

void RateLimitTasks::tick() {
  updateFleet();
  sendAll(Dissemination_.randomOther());
  Timer_.expires_after(Period);
  Timer_.async_wait([this](asio::error_code Failure) {
    if (!Failure)
      tick();
  });
}

} // namespace laburnum
