#pragma once

#include <Fakes/VersionedStore.h>

#include <LibPlatform/ObjectStore.h>
#include <LibPlatform/ObjectStoreCounts.h>

#include <cstdint>
#include <mutex>
#include <optional>

namespace laburnum {

enum class Reachability { Reachable, Unavailable };

/// An ObjectStore in memory with faults that a test enables. Deterministic and
/// thread-safe. No call blocks: watch returns the available changes at once, so
/// timeouts and waits are ignored.
class FakeObjectStore : public ObjectStore {
public:
  explicit FakeObjectStore(
      std::size_t HistoryLength = VersionedStore::DefaultHistory)
      : Store_(HistoryLength) {}

  Result<StoredObject> get(ObjectKey const &Key, Duration Timeout) override;
  Result<ObjectList> list(std::string const &Collection,
                          Duration Timeout) override;
  Result<Version> putIf(ObjectKey const &Key, Version Expected,
                        std::string const &Value, Duration Timeout) override;
  Result<WatchBatch> watch(std::string const &Collection, Version From,
                           Duration Wait) override;

  /// While Unavailable every call fails with Unavailable and has no effect.
  void setReachability(Reachability NewReachability);

  /// The next Count puts take effect (or are refused), but report
  /// OutcomeUnknown.
  void loseWriteAnswers(std::uint32_t Count);

  /// The next Count puts have no effect and report OutcomeUnknown.
  void loseWrites(std::uint32_t Count);

  /// get and list serve the state as of this version; nullopt disables it. Puts
  /// are still checked against the current state.
  void serveReadsAsOf(std::optional<Version> AsOf);

  /// The next Count watches report a gap.
  void breakWatches(std::uint32_t Count);

  /// See VersionedStore::restoreTo.
  void restoreTo(Version AsOf);

  Version version() const;
  ObjectStoreCounts counts() const;

private:
  std::optional<Error> unavailableError() const;

  mutable std::mutex Mutex_; ///< Guards all members below.
  VersionedStore Store_;
  ObjectStoreCounts Counts_;
  Reachability Reachability_ = Reachability::Reachable;
  std::uint32_t AnswersToLose_ = 0;
  std::uint32_t WritesToLose_ = 0;
  std::uint32_t WatchesToBreak_ = 0;
  std::optional<Version> ReadsAsOf_;
};

} // namespace laburnum
