#pragma once

#include <Fakes/VersionedStore.h>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>

namespace laburnum {

/// What a put came to, and the object's version after it.
struct PutOutcome {
  Result<Version> Result_;
  Version Present_ = 0;
};

/// The stand-in's objects, with watches that wait. Thread-safe.
class StandinStore {
public:
  StoredObject find(ObjectKey const &Key);
  ObjectList list(std::string const &Collection);
  PutOutcome putIf(ObjectKey const &Key, Version Expected,
                   std::string const &Value);

  /// Waits up to Wait for a change after From. stop() ends the wait.
  WatchBatch watch(std::string const &Collection, Version From, Duration Wait);

  /// A watch's answer that says nothing but that changes may be missing.
  WatchBatch gap();

  /// The next Count reads (0: all until ended) serve the state of this moment.
  void beginStaleReads(std::uint32_t Count);
  void endStaleReads();

  /// Takes back the last Count writes, as a restored backup does.
  void restore(std::uint32_t Count);

  /// Ends every wait, now and later.
  void stop();

private:
  Version versionToRead();

  std::mutex Mutex_; ///< Guards all below.
  std::condition_variable Changed_;
  VersionedStore Store_;
  std::optional<Version> ReadsAsOf_;
  std::uint32_t StaleReadsLeft_ = 0;
  bool IsStopped_ = false;
};

} // namespace laburnum
