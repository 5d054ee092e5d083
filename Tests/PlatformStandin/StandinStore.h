#pragma once

#include <Fakes/VersionedStore.h>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>

namespace laburnum {

/// The result of a put, and the object's version after it.
struct PutOutcome {
  Result<Version> Result_;
  Version CurrentVersion_ = 0;
};

/// The stand-in's objects, with long-polling watches. Thread-safe.
class StandinStore {
public:
  StoredObject find(ObjectKey const &Key);
  ObjectList list(std::string const &Collection);
  PutOutcome putIf(ObjectKey const &Key, Version Expected,
                   std::string const &Value);

  /// Blocks for up to Wait until there is a change after From. stop() ends the
  /// wait.
  WatchBatch watch(std::string const &Collection, Version From, Duration Wait);

  /// A watch's answer without changes that reports a gap.
  WatchBatch gap();

  /// The next Count reads (0: all until endStaleReads()) serve the state as of
  /// this call.
  void beginStaleReads(std::uint32_t Count);
  void endStaleReads();

  /// Reverts the last Count writes, as a restored backup does.
  void restore(std::uint32_t Count);

  /// Ends all current and future waits.
  void stop();

private:
  Version versionToRead();

  std::mutex Mutex_; ///< Guards all members below.
  std::condition_variable Changed_;
  VersionedStore Store_;
  std::optional<Version> ReadsAsOf_;
  std::uint32_t RemainingStaleReads_ = 0;
  bool IsStopped_ = false;
};

} // namespace laburnum
