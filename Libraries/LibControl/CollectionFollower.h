#pragma once

#include <LibPlatform/AsyncObjectStore.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace laburnum {

/// Is told what a followed collection holds.
class CollectionReader {
public:
  virtual ~CollectionReader() = default;
  /// All objects; what is not among them does not exist.
  virtual void onListed(ObjectList const &Listed) = 0;
  /// Changes since the last call; an object with Version_ 0 is gone.
  virtual void onChanged(WatchBatch const &Changes) = 0;
  /// The store has confirmed that all up to this version is known.
  virtual void onCurrent(Version /*StoreVersion*/) {}
  virtual void onLost(Error const &Reason) = 0;
  virtual void onRegained() = 0;
};

/// Keeps one collection of the store in view: lists it, then watches from
/// there, and lists again when changes may have been missed.
class CollectionFollower
    : public std::enable_shared_from_this<CollectionFollower> {
public:
  /// The store, the context and the reader outlive the follower.
  CollectionFollower(asio::io_context &Context, AsyncObjectStore &Store,
                     std::string Collection, CollectionReader &Reader,
                     std::uint64_t Seed);
  void start();
  void stop();

private:
  void list();
  void watch();
  void onListed(Result<ObjectList> Listed);
  void onWatched(Result<WatchBatch> Watched);
  void onFailure(Error const &Reason);
  void onSuccess();
  void after(Duration Pause, void (CollectionFollower::*Next)());

  AsyncObjectStore &Store_;
  std::string Collection_;
  CollectionReader &Reader_;
  asio::steady_timer Timer_;
  std::mt19937_64 Generator_;
  Version From_ = 0;
  std::uint32_t Failures_ = 0; ///< In a row.
  bool IsStopped_ = false;
};

} // namespace laburnum
