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

/// A reservation message and its recipient.
struct ReservationMessage {
  InstanceId To_;
  ServerReserved Message_;

  auto operator<=>(ReservationMessage const &) const = default;
};

/// Progress of a local reservation.
enum class ReservationStage {
  None,
  Requested, ///< Some peer has not agreed yet.
  Held,      ///< Every peer agreed and runs nothing on the server.
};

/// Distributed reservation of servers that run one suspect request and nothing
/// else, with at most one such run per content at a time. Every peer must agree
/// (Ricart and Agrawala 1981, with instance names in place of clocks): a peer
/// that agrees sends the server nothing new until the reservation ends or
/// expires, and it agrees only when it runs nothing there. Lost messages delay
/// a reservation; two instances hold the same one only if every answer of a
/// peer is lost for AnswerTimeout, after which the peer counts as unreachable.
class ServerReservations {
public:
  explicit ServerReservations(InstanceId Self) : Self_(std::move(Self)) {}

  /// Sets the live and leaving instances except this one.
  void setPeers(std::set<InstanceId> Peers) { Peers_ = std::move(Peers); }

  ReservationStage stage(std::uint64_t Fingerprint, TimePoint Now) const;
  std::optional<ServerId> serverOf(std::uint64_t Fingerprint) const;
  /// Returns whether this instance or a peer has reserved the server.
  bool isReserved(ServerId const &Server, TimePoint Now) const;
  std::set<ServerId> reserved(TimePoint Now) const;
  /// Returns whether a peer's reservation for this content is in force.
  bool isReservedElsewhere(std::uint64_t Fingerprint, TimePoint Now) const;

  void request(std::uint64_t Fingerprint, ServerId const &Server,
               TimePoint Now);
  /// Marks the reservation as in use; it no longer yields to a peer.
  void start(std::uint64_t Fingerprint);
  bool isStarted(std::uint64_t Fingerprint) const;
  void end(std::uint64_t Fingerprint);
  /// IsIdle tells whether this instance runs nothing on the server.
  void receive(InstanceId const &From, ServerReserved const &Message,
               bool IsIdle, TimePoint Now);
  /// Answers Busy to a peer's request without recording its reservation.
  void defer(InstanceId const &From, ServerReserved const &Message);
  /// Renews reservations in force. To be called at least ten times a second.
  void onTimePassed(TimePoint Now);

  /// Returns the messages to send now.
  std::vector<ReservationMessage> takeMessages();

private:
  struct LocalReservation {
    ServerId Server_;
    std::map<InstanceId, TimePoint> Agreed_; ///< When each last agreed.
    TimePoint LastRequestedAt_{};
    bool IsStarted_ = false;
  };
  struct RemoteReservation {
    InstanceId Owner_;
    std::uint64_t Fingerprint_ = 0;
    TimePoint Until_{};
  };

  bool agreed(LocalReservation const &Local, TimePoint Now) const;
  std::optional<std::uint64_t>
  competingReservation(ServerReserved const &Message) const;
  void receiveRequest(InstanceId const &From, ServerReserved const &Message,
                      bool IsIdle, TimePoint Now);
  bool isReservedByAnother(ServerReserved const &Message, TimePoint Now) const;
  void requestFromAll(std::uint64_t Fingerprint, LocalReservation &Local,
                      TimePoint Now);
  void sendToAll(std::uint64_t Fingerprint, LocalReservation const &Local,
                 ReservationState State);

  InstanceId const Self_;
  std::set<InstanceId> Peers_;
  /// Since when each peer has not answered.
  std::map<InstanceId, TimePoint> UnansweredSince_;
  TimePoint LastRequestedAt_{};
  std::map<std::uint64_t, LocalReservation> Local_; ///< By content.
  std::map<ServerId, RemoteReservation> Remote_;    ///< By server.
  std::vector<ReservationMessage> Messages_;
};

} // namespace laburnum
