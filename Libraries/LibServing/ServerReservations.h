#pragma once

#include <LibCore/Time.h>
#include <LibPeer/ServerReserved.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace laburnum {

/// A reservation message and the instance it goes to.
struct ReservationMessage {
  InstanceId To_;
  ServerReserved Message_;

  auto operator<=>(ReservationMessage const &) const = default;
};

/// How far a reservation of this instance's own has come.
enum class ReservationStage {
  None,
  Asked, ///< Some peer has not agreed yet.
  Held,  ///< Every peer agreed: nothing of theirs runs on the server.
};

/// Agrees with peers on servers that run one suspect request and nothing else,
/// and on one such run for each content at a time. Each peer must agree (Ricart
/// and Agrawala 1981, with instance names in place of clocks): a peer that
/// agrees sends the server nothing new until the reservation is over or lapses,
/// and it agrees only when nothing of its own runs there any more. Lost
/// messages delay a reservation; two hold it only if every answer of a peer is
/// lost for AnswerPatience, after which the peer counts as cut off.
class ServerReservations {
public:
  explicit ServerReservations(InstanceId Self) : Self_(std::move(Self)) {}

  /// The live and leaving instances but this one.
  void setPeers(std::set<InstanceId> Peers) { Peers_ = std::move(Peers); }

  ReservationStage stage(std::uint64_t Fingerprint, TimePoint Now) const;
  std::optional<ServerId> serverOf(std::uint64_t Fingerprint) const;
  /// By this instance or a peer.
  bool isReserved(ServerId const &Server, TimePoint Now) const;
  std::set<ServerId> reserved(TimePoint Now) const;
  /// True while a peer's reservation for this content is in force.
  bool isTriedElsewhere(std::uint64_t Fingerprint, TimePoint Now) const;

  void ask(std::uint64_t Fingerprint, ServerId const &Server, TimePoint Now);
  /// The reservation is used: it is given up for no peer any more.
  void start(std::uint64_t Fingerprint);
  bool isStarted(std::uint64_t Fingerprint) const;
  void end(std::uint64_t Fingerprint);
  /// IsIdle tells whether nothing of this instance runs on the server.
  void receive(InstanceId const &From, ServerReserved const &Message,
               bool IsIdle, TimePoint Now);
  /// Lets a peer that asks wait, and takes no note of its reservation.
  void putOff(InstanceId const &From, ServerReserved const &Message);
  /// Repeats what is in force. To be called at least ten times a second.
  void onTimePassed(TimePoint Now);

  /// What is to be sent now.
  std::vector<ReservationMessage> takeMessages();

private:
  struct Own {
    ServerId Server_;
    std::map<InstanceId, TimePoint> Agreed_; ///< When each last agreed.
    TimePoint LastAsked_{};
    bool IsStarted_ = false;
  };
  struct Foreign {
    InstanceId Owner_;
    std::uint64_t Fingerprint_ = 0;
    TimePoint Until_{};
  };

  bool agreed(Own const &Mine, TimePoint Now) const;
  std::optional<std::uint64_t> rivalOf(ServerReserved const &Message) const;
  void receiveWanted(InstanceId const &From, ServerReserved const &Message,
                     bool IsIdle, TimePoint Now);
  bool isTakenByAnother(ServerReserved const &Message, TimePoint Now) const;
  void askAll(std::uint64_t Fingerprint, Own &Mine, TimePoint Now);
  void sendAll(std::uint64_t Fingerprint, Own const &Mine,
               ReservationState State);

  InstanceId const Self_;
  std::set<InstanceId> Peers_;
  /// Peers that owe an answer, since when.
  std::map<InstanceId, TimePoint> SilentSince_;
  TimePoint LastAsked_{};
  std::map<std::uint64_t, Own> Own_;    ///< By content.
  std::map<ServerId, Foreign> Foreign_; ///< By server.
  std::vector<ReservationMessage> Messages_;
};

} // namespace laburnum
