#pragma once

#include <LibCore/Time.h>
#include <LibPeer/CrashReports.h>
#include <LibPlatform/AsyncObjectStore.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace laburnum {

/// Keeps the reports of refused contents in one object of the store, so that
/// they survive a restart of all instances. The object is read at the start
/// and written when a content is refused or cleared.
class CrashRecords : public std::enable_shared_from_this<CrashRecords> {
public:
  using Restored = std::function<void(std::vector<CrashReport> const &)>;

  /// The store has to outlive the records. Restored is called with the reports
  /// that the store holds after each read.
  CrashRecords(AsyncObjectStore &Store, Restored Restored)
      : Store_(Store), Restored_(std::move(Restored)) {}

  /// Queues reports for writing. TimeOfDay is the current median time.
  void save(std::vector<CrashReport> const &Reports, Duration TimeOfDay);
  /// Starts the reads and writes that are due. To be called every second.
  void tick(Duration TimeOfDay, TimePoint Now);

private:
  /// A report with the time of the disconnect instead of its age.
  struct Record {
    CrashReport Report_;
    Duration At_{}; ///< Since the start of 1970.
  };
  using Records = std::map<std::uint64_t, Record>; ///< By incident.

  void load(ReadConsistency Consistency, Duration TimeOfDay);
  void write(Version Expected, Records Held, Duration TimeOfDay);
  void backOff(TimePoint Now);
  static void prune(Records &Held, Duration TimeOfDay);
  static std::string encode(Records const &Held);
  /// A time in the future, which no instance of this system writes, counts as
  /// the present.
  static Records decode(std::string const &Text, Duration TimeOfDay);

  AsyncObjectStore &Store_;
  Restored Restored_;
  Records Unsaved_;
  std::uint32_t CompletedLoads_ = 0;
  std::uint32_t Failures_ = 0;
  bool IsBusy_ = false;
  TimePoint NotBefore_{}; ///< After a failed call.
  TimePoint NextLoadAt_{};
  TimePoint Now_{};
};

} // namespace laburnum
