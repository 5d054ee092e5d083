#include <LibServing/ServerReservations.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

/// A peer releases the server this long after the last request.
constexpr Duration ReservationLifetime = std::chrono::seconds(2);
/// An agreement is valid this long after its receipt, so that it has not
/// expired at the peer if messages take less than the difference to
/// ReservationLifetime.
constexpr Duration AgreementValidity = std::chrono::seconds(1);
/// A peer that does not answer for this long counts as unreachable.
constexpr Duration AnswerTimeout = std::chrono::seconds(1);
constexpr Duration RepeatPeriod = std::chrono::milliseconds(100);

} // namespace

ReservationStage ServerReservations::stage(std::uint64_t Fingerprint,
                                           TimePoint Now) const {
  auto const Found = Local_.find(Fingerprint);
  if (Found == Local_.end())
    return ReservationStage::None;
  return agreed(Found->second, Now) ? ReservationStage::Held
                                    : ReservationStage::Requested;
}

std::optional<ServerId>
ServerReservations::serverOf(std::uint64_t Fingerprint) const {
  auto const Found = Local_.find(Fingerprint);
  if (Found == Local_.end())
    return std::nullopt;
  return Found->second.Server_;
}

bool ServerReservations::isReserved(ServerId const &Server,
                                    TimePoint Now) const {
  return reserved(Now).contains(Server);
}

std::set<ServerId> ServerReservations::reserved(TimePoint Now) const {
  std::set<ServerId> Servers;
  for (auto const &[Fingerprint, Local] : Local_)
    Servers.insert(Local.Server_);
  for (auto const &[Server, Remote] : Remote_)
    if (Now < Remote.Until_)
      Servers.insert(Server);
  return Servers;
}

bool ServerReservations::isReservedElsewhere(std::uint64_t Fingerprint,
                                             TimePoint Now) const {
  return std::any_of(Remote_.begin(), Remote_.end(), [&](auto const &Entry) {
    return Entry.second.Fingerprint_ == Fingerprint &&
           Now < Entry.second.Until_;
  });
}

void ServerReservations::request(std::uint64_t Fingerprint,
                                 ServerId const &Server, TimePoint Now) {
  auto &Local = Local_[Fingerprint];
  Local = {Server, {}, Now, false};
  // Peers that did not answer some time ago get a new timeout.
  if (Now - LastRequestedAt_ >= ReservationLifetime)
    UnansweredSince_.clear();
  requestFromAll(Fingerprint, Local, Now);
}

void ServerReservations::start(std::uint64_t Fingerprint) {
  auto const Found = Local_.find(Fingerprint);
  if (Found != Local_.end())
    Found->second.IsStarted_ = true;
}

bool ServerReservations::isStarted(std::uint64_t Fingerprint) const {
  auto const Found = Local_.find(Fingerprint);
  return Found != Local_.end() && Found->second.IsStarted_;
}

void ServerReservations::end(std::uint64_t Fingerprint) {
  auto const Found = Local_.find(Fingerprint);
  if (Found == Local_.end())
    return;
  sendToAll(Fingerprint, Found->second, ReservationState::Released);
  Local_.erase(Found);
}

void ServerReservations::receive(InstanceId const &From,
                                 ServerReserved const &Message, bool IsIdle,
                                 TimePoint Now) {
  UnansweredSince_.erase(From);
  if (Message.State_ == ReservationState::Requested)
    return receiveRequest(From, Message, IsIdle, Now);
  if (Message.State_ == ReservationState::Released) {
    std::erase_if(Remote_, [&](auto const &Entry) {
      return Entry.first == Message.Server_ &&
             Entry.second.Owner_ == Message.Owner_ &&
             Entry.second.Fingerprint_ == Message.Fingerprint_;
    });
    return;
  }
  auto const Found = Local_.find(Message.Fingerprint_);
  if (Message.Owner_ != Self_ || Found == Local_.end() ||
      Found->second.Server_ != Message.Server_)
    return;
  if (Message.State_ == ReservationState::Agreed)
    Found->second.Agreed_[From] = Now;
}

void ServerReservations::defer(InstanceId const &From,
                               ServerReserved const &Message) {
  auto Reply = Message;
  Reply.State_ = ReservationState::Busy;
  Messages_.push_back({From, Reply});
}

/// The instance with the smaller name takes precedence, except over a
/// reservation that every peer has agreed to.
void ServerReservations::receiveRequest(InstanceId const &From,
                                        ServerReserved const &Message,
                                        bool IsIdle, TimePoint Now) {
  auto const Competing = competingReservation(Message);
  if (Competing &&
      (agreed(Local_.at(*Competing), Now) || Self_ < Message.Owner_))
    return defer(From, Message);
  if (Competing)
    end(*Competing);
  if (isReservedByAnother(Message, Now))
    return defer(From, Message);
  auto const Until = Now + std::clamp(Message.Remaining_, Duration::zero(),
                                      ReservationLifetime);
  Remote_[Message.Server_] = {Message.Owner_, Message.Fingerprint_, Until};
  if (!IsIdle)
    return defer(From, Message);
  auto Reply = Message;
  Reply.State_ = ReservationState::Agreed;
  Messages_.push_back({From, Reply});
}

bool ServerReservations::isReservedByAnother(ServerReserved const &Message,
                                             TimePoint Now) const {
  return std::any_of(Remote_.begin(), Remote_.end(), [&](auto const &Entry) {
    auto const &Remote = Entry.second;
    return Remote.Owner_ != Message.Owner_ && Now < Remote.Until_ &&
           (Entry.first == Message.Server_ ||
            Remote.Fingerprint_ == Message.Fingerprint_);
  });
}

void ServerReservations::onTimePassed(TimePoint Now) {
  for (auto &[Fingerprint, Local] : Local_) {
    if (Now - Local.LastRequestedAt_ < RepeatPeriod)
      continue;
    requestFromAll(Fingerprint, Local, Now);
  }
  std::erase_if(Remote_,
                [&](auto const &Entry) { return Now >= Entry.second.Until_; });
}

std::vector<ReservationMessage> ServerReservations::takeMessages() {
  return std::exchange(Messages_, {});
}

bool ServerReservations::agreed(LocalReservation const &Local,
                                TimePoint Now) const {
  if (Local.IsStarted_)
    return true;
  return std::all_of(Peers_.begin(), Peers_.end(), [&](InstanceId const &Peer) {
    auto const Found = Local.Agreed_.find(Peer);
    if (Found != Local.Agreed_.end() && Now - Found->second < AgreementValidity)
      return true;
    auto const Unanswered = UnansweredSince_.find(Peer);
    return Unanswered != UnansweredSince_.end() &&
           Now - Unanswered->second >= AnswerTimeout;
  });
}

/// Returns the local reservation for the same content or the same server.
std::optional<std::uint64_t>
ServerReservations::competingReservation(ServerReserved const &Message) const {
  for (auto const &[Fingerprint, Local] : Local_)
    if (Fingerprint == Message.Fingerprint_ || Local.Server_ == Message.Server_)
      return Fingerprint;
  return std::nullopt;
}

void ServerReservations::requestFromAll(std::uint64_t Fingerprint,
                                        LocalReservation &Local,
                                        TimePoint Now) {
  Local.LastRequestedAt_ = Now;
  LastRequestedAt_ = Now;
  for (auto const &Peer : Peers_)
    UnansweredSince_.try_emplace(Peer, Now);
  sendToAll(Fingerprint, Local, ReservationState::Requested);
}

void ServerReservations::sendToAll(std::uint64_t Fingerprint,
                                   LocalReservation const &Local,
                                   ReservationState State) {
  for (auto const &Peer : Peers_)
    Messages_.push_back(
        {Peer,
         {Local.Server_, Fingerprint, Self_, State, ReservationLifetime}});
}

} // namespace laburnum
