#pragma once

#include <LibControl/CollectionReader.h>
#include <LibControl/StoreRelay.h>
#include <LibPlatform/AsyncObjectStore.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnum {

/// Keeps local copies of collections of the store up to date, by reading the
/// store or by updates from other instances; StoreRelay decides which.
class StoreFollower : public std::enable_shared_from_this<StoreFollower> {
public:
  struct Callbacks {
    /// The reader of each collection.
    std::map<std::string, CollectionReader *> Readers_;
    std::function<void(SendToPeer const &)> Send_;
    std::function<void(relay::ReaderRoleChanged const &)> ReaderRoleChanged_;
  };

  /// The store, the context and the readers have to outlive the follower.
  StoreFollower(asio::io_context &Context, AsyncObjectStore &Store,
                EntryInstance Self, std::uint64_t Seed, Callbacks Callbacks);
  void start();
  void stop();
  relay::ReaderRole readerRole() const { return Relay_.readerRole(); }
  void setMembers(std::vector<Member> const &Members);
  void onStoreUpdate(StoreUpdate const &Update);
  void onRequest(SnapshotRequest const &Request);

private:
  void tick();
  void perform(std::vector<relay::Action> const &Actions);
  void on(SendToPeer const &Action);
  void on(relay::ListCollection const &Action);
  void on(relay::WatchCollection const &Action);
  void on(relay::CollectionReplaced const &Action);
  void on(relay::CollectionChanged const &Action);
  void on(relay::CollectionConfirmed const &Action);
  void on(relay::StoreLost const &Action);
  void on(relay::StoreRegained const &Action);
  void on(relay::ReaderRoleChanged const &Action);
  void onRead(std::string const &Collection, relay::ReadOutcome const &Outcome);

  AsyncObjectStore &Store_;
  Callbacks Callbacks_;
  StoreRelay Relay_;
  asio::steady_timer Timer_;
  bool IsStopped_ = false;
};

} // namespace laburnum
