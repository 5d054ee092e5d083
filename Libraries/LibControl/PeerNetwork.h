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

/// The fleet as this instance sees it. Members_ are the reachable instances,
/// this one included; Registered_ counts the instances in the store's list,
/// reachable or not. Until the list is read it counts the known instances.
struct FleetView {
  std::vector<Member> Members_;
  std::size_t Registered_ = 1;

  auto operator<=>(FleetView const &) const = default;
};

/// Connects the entry instances: each registers in the store and discovers the
/// others there; from then on they communicate directly. While the store is
/// away, an instance that starts is introduced by those that know its address
/// from its previous incarnation.
class PeerNetwork : public std::enable_shared_from_this<PeerNetwork> {
public:
  struct Callbacks {
    std::function<void(FleetView const &)> Changed_;
    PeerReceiver Received_;
    /// The port for messages cannot be opened: tried again if Unavailable.
    std::function<void(Error const &)> Failed_;
    std::function<void()> Opened_; ///< The port for messages is open.
    /// A peer has introduced this instance, which uses its secret from now on.
    std::function<void(EntryInstance const &Peer)> Introduced_;
  };

  /// The context and the store have to outlive the network. Name is the
  /// instance's name in the store; the identifier in Self is that of its
  /// current incarnation.
  PeerNetwork(asio::io_context &Context, AsyncObjectStore &Store,
              std::string Name, EntryInstance Self, std::uint64_t Seed,
              Callbacks Callbacks);

  void start();
  /// Writes again what the store may have lost when it was restored from an
  /// older copy: this instance's entry and, by a keeper, the fleet's secret.
  enum class SecretKeeper { No, Yes };
  void onStoreRestored(SecretKeeper Keeper);
  /// Notifies the other instances that this one leaves.
  void leave();
  void send(SendToPeer const &Action);
  /// See PeerTransport::whenWritten().
  void whenWritten(Endpoint const &To, std::function<void()> Done);
  void sendToAll(PeerMessage const &Message);
  FleetView const &view() const { return View_; }

private:
  /// Reads the shared secret with that consistency. If a lagging read finds
  /// none, the latest state is read; if there is none either, it is created.
  void obtainSecret(ReadConsistency Consistency);
  void obtainLatestSecret();
  void onStoredSecret(std::string const &Secret);
  void onIntroduced(Hello const &Greeting);
  /// Does nothing if it is open. Without a secret yet, it can be introduced by
  /// a peer.
  void openTransport();
  void registerSelf();
  void unregisterSelf();
  void listInstances();
  Duration listPause() const;
  void onListing(ObjectList const &Listed);
  /// Contacts the listed instances.
  void applyListing();
  void tick();
  void handle(membership::Event const &Event);
  void on(SendToPeer const &Action) { send(Action); }
  void on(membership::MembersChanged const &Action);
  void scheduleAfter(asio::steady_timer &Timer, Duration Pause,
                     void (PeerNetwork::*Next)());

  asio::io_context &Context_;
  AsyncObjectStore &Store_;
  std::string Name_;
  EntryInstance Self_;
  std::string Secret_;          ///< Empty until it is known.
  bool IsSecretStored_ = false; ///< It was read from the store.
  Membership Membership_;
  IdentifierSource Identifiers_;
  Callbacks Callbacks_;
  FleetView View_;
  std::shared_ptr<AsioPeerTransport> Transport_;
  asio::steady_timer OpenTimer_;
  asio::steady_timer TickTimer_;
  asio::steady_timer StoreTimer_;
  asio::steady_timer RegisterTimer_;
  std::uint32_t Listings_ = 0; ///< Attempts to read the list so far.
  bool HasList_ = false;
  InstanceListing Listing_;    ///< As last read.
  bool WasRegistered_ = false; ///< By a previous incarnation.
  bool IsLeaving_ = false;
};

} // namespace laburnum
