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

/// Keeps refused contents in the store, so that they outlive all instances:
/// one object, read at the start and written when a content is refused or
/// cleared.
class CrashRecords : public std::enable_shared_from_this<CrashRecords> {
public:
  using Restored = std::function<void(std::vector<CrashReport> const &)>;

  /// The store outlives the records. Restored is told what the store holds.
  CrashRecords(AsyncObjectStore &Store, Restored Restored)
      : Store_(Store), Restored_(std::move(Restored)) {}

  /// Reports to be kept. TimeOfDay is the present true time.
  void save(std::vector<CrashReport> const &Reports, Duration TimeOfDay);
  /// Reads and writes what is due. To be called every second.
  void tick(Duration TimeOfDay, TimePoint Now);

private:
  /// A report with the time of its break instead of its age.
  struct Record {
    CrashReport Report_;
    Duration At_{}; ///< Since the start of 1970.
  };
  using Records = std::map<std::uint64_t, Record>; ///< By incident.

  void load(ReadConsistency Consistency, Duration TimeOfDay);
  void write(Version Expected, Records Held, Duration TimeOfDay);
  void failed(TimePoint Now);
  static void prune(Records &Held, Duration TimeOfDay);
  static std::string encode(Records const &Held);
  static Records decode(std::string const &Text);

  AsyncObjectStore &Store_;
  Restored Restored_;
  Records Unsaved_;
  std::uint32_t Loads_ = 0; ///< That came back.
  std::uint32_t Failures_ = 0;
  bool IsBusy_ = false;
  TimePoint NotBefore_{}; ///< After a failed call.
  TimePoint NextLoadAt_{};
  TimePoint Now_{};
};

} // namespace laburnum
