#include <LibServing/ServerReservations.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

/// A peer frees the server this long after it was last asked.
constexpr Duration Lapse = std::chrono::seconds(2);
/// An agreement is relied on this long after it came, so that it is younger
/// than Lapse at the peer when messages take less than the difference.
constexpr Duration AgreementTime = std::chrono::seconds(1);
/// A peer that answers nothing for this long is cut off.
constexpr Duration AnswerPatience = std::chrono::seconds(1);
constexpr Duration RepeatPeriod = std::chrono::milliseconds(100);

} // namespace

ReservationStage ServerReservations::stage(std::uint64_t Fingerprint,
                                           TimePoint Now) const {
  auto const Found = Own_.find(Fingerprint);
  if (Found == Own_.end())
    return ReservationStage::None;
  return agreed(Found->second, Now) ? ReservationStage::Held
                                    : ReservationStage::Asked;
}

std::optional<ServerId>
ServerReservations::serverOf(std::uint64_t Fingerprint) const {
  auto const Found = Own_.find(Fingerprint);
  if (Found == Own_.end())
    return std::nullopt;
  return Found->second.Server_;
}

bool ServerReservations::isReserved(ServerId const &Server,
                                    TimePoint Now) const {
  return reserved(Now).contains(Server);
}

std::set<ServerId> ServerReservations::reserved(TimePoint Now) const {
  std::set<ServerId> Servers;
  for (auto const &[Fingerprint, Mine] : Own_)
    Servers.insert(Mine.Server_);
  for (auto const &[Server, Theirs] : Foreign_)
    if (Now < Theirs.Until_)
      Servers.insert(Server);
  return Servers;
}

bool ServerReservations::isTriedElsewhere(std::uint64_t Fingerprint,
                                          TimePoint Now) const {
  return std::any_of(Foreign_.begin(), Foreign_.end(), [&](auto const &Entry) {
    return Entry.second.Fingerprint_ == Fingerprint &&
           Now < Entry.second.Until_;
  });
}

void ServerReservations::ask(std::uint64_t Fingerprint, ServerId const &Server,
                             TimePoint Now) {
  auto &Mine = Own_[Fingerprint];
  Mine = {Server, {}, Now, false};
  // A peer that was cut off some time ago gets its time to answer anew.
  if (Now - LastAsked_ >= Lapse)
    SilentSince_.clear();
  askAll(Fingerprint, Mine, Now);
}

void ServerReservations::start(std::uint64_t Fingerprint) {
  auto const Found = Own_.find(Fingerprint);
  if (Found != Own_.end())
    Found->second.IsStarted_ = true;
}

bool ServerReservations::isStarted(std::uint64_t Fingerprint) const {
  auto const Found = Own_.find(Fingerprint);
  return Found != Own_.end() && Found->second.IsStarted_;
}

void ServerReservations::end(std::uint64_t Fingerprint) {
  auto const Found = Own_.find(Fingerprint);
  if (Found == Own_.end())
    return;
  sendAll(Fingerprint, Found->second, ReservationState::Released);
  Own_.erase(Found);
}

void ServerReservations::receive(InstanceId const &From,
                                 ServerReserved const &Message, bool IsIdle,
                                 TimePoint Now) {
  SilentSince_.erase(From);
  if (Message.State_ == ReservationState::Requested)
    return receiveWanted(From, Message, IsIdle, Now);
  if (Message.State_ == ReservationState::Released) {
    std::erase_if(Foreign_, [&](auto const &Entry) {
      return Entry.first == Message.Server_ &&
             Entry.second.Owner_ == Message.Owner_ &&
             Entry.second.Fingerprint_ == Message.Fingerprint_;
    });
    return;
  }
  auto const Found = Own_.find(Message.Fingerprint_);
  if (Message.Owner_ != Self_ || Found == Own_.end() ||
      Found->second.Server_ != Message.Server_)
    return;
  if (Message.State_ == ReservationState::Agreed)
    Found->second.Agreed_[From] = Now;
}

void ServerReservations::putOff(InstanceId const &From,
                                ServerReserved const &Message) {
  auto Reply = Message;
  Reply.State_ = ReservationState::Busy;
  Messages_.push_back({From, Reply});
}

/// The instance with the lesser name goes first, but for a reservation that
/// every peer has agreed to.
void ServerReservations::receiveWanted(InstanceId const &From,
                                       ServerReserved const &Message,
                                       bool IsIdle, TimePoint Now) {
  auto const Rival = rivalOf(Message);
  if (Rival && (agreed(Own_.at(*Rival), Now) || Self_ < Message.Owner_))
    return putOff(From, Message);
  if (Rival)
    end(*Rival);
  if (isTakenByAnother(Message, Now))
    return putOff(From, Message);
  auto const Until =
      Now + std::clamp(Message.Remaining_, Duration::zero(), Lapse);
  Foreign_[Message.Server_] = {Message.Owner_, Message.Fingerprint_, Until};
  if (!IsIdle)
    return putOff(From, Message);
  auto Reply = Message;
  Reply.State_ = ReservationState::Agreed;
  Messages_.push_back({From, Reply});
}

bool ServerReservations::isTakenByAnother(ServerReserved const &Message,
                                          TimePoint Now) const {
  return std::any_of(Foreign_.begin(), Foreign_.end(), [&](auto const &Entry) {
    auto const &Theirs = Entry.second;
    return Theirs.Owner_ != Message.Owner_ && Now < Theirs.Until_ &&
           (Entry.first == Message.Server_ ||
            Theirs.Fingerprint_ == Message.Fingerprint_);
  });
}

void ServerReservations::onTimePassed(TimePoint Now) {
  for (auto &[Fingerprint, Mine] : Own_) {
    if (Now - Mine.LastAsked_ < RepeatPeriod)
      continue;
    askAll(Fingerprint, Mine, Now);
  }
  std::erase_if(Foreign_,
                [&](auto const &Entry) { return Now >= Entry.second.Until_; });
}

std::vector<ReservationMessage> ServerReservations::takeMessages() {
  return std::exchange(Messages_, {});
}

bool ServerReservations::agreed(Own const &Mine, TimePoint Now) const {
  if (Mine.IsStarted_)
    return true;
  return std::all_of(Peers_.begin(), Peers_.end(), [&](InstanceId const &Peer) {
    auto const Found = Mine.Agreed_.find(Peer);
    if (Found != Mine.Agreed_.end() && Now - Found->second < AgreementTime)
      return true;
    auto const Silent = SilentSince_.find(Peer);
    return Silent != SilentSince_.end() &&
           Now - Silent->second >= AnswerPatience;
  });
}

/// The own reservation that is for the same content or the same server.
std::optional<std::uint64_t>
ServerReservations::rivalOf(ServerReserved const &Message) const {
  for (auto const &[Fingerprint, Mine] : Own_)
    if (Fingerprint == Message.Fingerprint_ || Mine.Server_ == Message.Server_)
      return Fingerprint;
  return std::nullopt;
}

void ServerReservations::askAll(std::uint64_t Fingerprint, Own &Mine,
                                TimePoint Now) {
  Mine.LastAsked_ = Now;
  LastAsked_ = Now;
  for (auto const &Peer : Peers_)
    SilentSince_.try_emplace(Peer, Now);
  sendAll(Fingerprint, Mine, ReservationState::Requested);
}

void ServerReservations::sendAll(std::uint64_t Fingerprint, Own const &Mine,
                                 ReservationState State) {
  for (auto const &Peer : Peers_)
    Messages_.push_back(
        {Peer, {Mine.Server_, Fingerprint, Self_, State, Lapse}});
}

} // namespace laburnum
