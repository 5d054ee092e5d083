#pragma once

#include <LibCore/IdentifierSource.h>
#include <LibFleet/Membership.h>
#include <LibPeer/AsioPeerTransport.h>
#include <LibPlatform/AsyncObjectStore.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace laburnum {

/// What the entry instances know of one another. Members_ are those that can
/// be reached, this one included; Registered_ counts the instances that the
/// store names, reachable or not.
struct FleetView {
  std::vector<Member> Members_;
  std::size_t Registered_ = 1;

  auto operator<=>(FleetView const &) const = default;
};

/// Brings the entry instances together: each registers in the store, finds the
/// others there, and from then on they speak to each other directly.
class PeerNetwork : public std::enable_shared_from_this<PeerNetwork> {
public:
  struct Callbacks {
    std::function<void(FleetView const &)> Changed_;
    PeerReceiver Received_;
    std::function<void(Error const &)> Failed_;
  };

  /// The context and the store outlive the network. Name is the instance's own
  /// among those of the store; Self's identifier names this life of it.
  PeerNetwork(asio::io_context &Context, AsyncObjectStore &Store,
              std::string Name, EntryInstance Self, std::uint64_t Seed,
              Callbacks Callbacks);

  void start();
  /// Tells the others that this instance leaves.
  void leave();
  void send(SendToPeer const &Action);
  void sendToAll(PeerMessage const &Message);
  FleetView const &view() const { return View_; }

private:
  /// Reads the secret as cheaply as Consistency says; where there is none, the
  /// latest state tells, and then it is made.
  void obtainSecret(ReadConsistency Consistency);
  void obtainLatestSecret();
  void openTransport(std::string const &Secret);
  void registerSelf();
  void unregisterSelf();
  void listInstances();
  Duration listPause() const;
  void takeListing(ObjectList const &Listed);
  void tick();
  void handle(membership::Event const &Event);
  void on(SendToPeer const &Action) { send(Action); }
  void on(membership::MembersChanged const &Action);
  void after(asio::steady_timer &Timer, Duration Pause,
             void (PeerNetwork::*Next)());

  asio::io_context &Context_;
  AsyncObjectStore &Store_;
  std::string Name_;
  EntryInstance Self_;
  Membership Membership_;
  IdentifierSource Identifiers_;
  Callbacks Callbacks_;
  FleetView View_;
  std::shared_ptr<AsioPeerTransport> Transport_;
  asio::steady_timer TickTimer_;
  asio::steady_timer StoreTimer_;
  asio::steady_timer RegisterTimer_;
  std::uint32_t Listings_ = 0; ///< Read so far.
  bool WasRegistered_ = false; ///< By an earlier life, as listed.
  bool IsLeaving_ = false;
};

} // namespace laburnum
