#pragma once

#include <LibControl/CrashRecords.h>
#include <LibControl/CrashReportDissemination.h>
#include <LibControl/MedianClock.h>
#include <LibControl/PeerNetwork.h>
#include <LibLog/EventLog.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace laburnum {

/// What the desk shares with others, and outlives it.
struct CrashParts {
  asio::io_context &Context_;
  AsyncObjectStore &Store_;
  CrashGuard &Guard_;
  MedianClock const &Clock_;
  EventLog &Log_;
};

/// Connects the crash guard with the peers and the store. Runs on the control
/// thread.
class CrashDesk {
public:
  CrashDesk(CrashParts Parts, EntryInstance const &Self);

  /// From now on peers are told.
  void start(std::shared_ptr<PeerNetwork> Peers);
  void setMembers(std::vector<Member> const &Members);
  /// What the own guard reported.
  void onLocalReports(std::vector<CrashReport> const &Reports);
  void onPeer(CrashReports const &Heard);

private:
  void send(std::vector<SendToPeer> const &News);
  void tick();

  CrashParts Parts_;
  CrashReportDissemination News_;
  std::shared_ptr<CrashRecords> Records_;
  std::shared_ptr<PeerNetwork> Peers_;
  asio::steady_timer Timer_;
};

} // namespace laburnum
