#pragma once

#include <LibControl/CrashRecords.h>
#include <LibControl/CrashReportDissemination.h>
#include <LibControl/MedianClock.h>
#include <LibControl/PeerNetwork.h>
#include <LibLog/EventLog.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace laburnum {

/// References to shared objects, all of which outlive CrashGuardTasks.
struct CrashGuardDependencies {
  asio::io_context &Context_;
  AsyncObjectStore &Store_;
  CrashGuard &Guard_;
  MedianClock const &Clock_;
  EventLog &Log_;
};

/// Sends the crash guard's reports to the peers, takes in theirs, and saves and
/// restores crash records in the store. Runs on the control thread.
class CrashGuardTasks {
public:
  CrashGuardTasks(CrashGuardDependencies Dependencies,
                  EntryInstance const &Self);

  /// Starts sending reports to the peers and the periodic timer.
  void start(std::shared_ptr<PeerNetwork> Peers);
  void setMembers(std::vector<Member> const &Members);
  /// Disseminates what the local guard reported.
  void onLocalReports(std::vector<CrashReport> const &Reports);
  void onPeer(CrashReports const &Received);
  void onStoreRestored() { Dissemination_.onStoreRestored(readBootClock()); }

private:
  void send(std::vector<SendToPeer> const &Messages);
  void tick();
  /// Logs the fingerprints in Reports that this instance has begun or ceased to
  /// suspect.
  void logChanges(std::vector<CrashReport> const &Reports,
                  std::string_view Source);

  CrashGuardDependencies Dependencies_;
  CrashReportDissemination Dissemination_;
  std::shared_ptr<CrashRecords> Records_;
  std::shared_ptr<PeerNetwork> Peers_;
  asio::steady_timer Timer_;
  std::set<std::uint64_t> LoggedSuspects_;
};

} // namespace laburnum
