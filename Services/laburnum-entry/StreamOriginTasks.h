#pragma once

#include "RecordCodec.h"
#include "TrafficPlane.h"

#include <LibControl/ContactMonitor.h>
#include <LibControl/StoreRelay.h>
#include <LibControl/StreamOriginRecords.h>
#include <LibLog/EventLog.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnum {

/// References to shared objects, all of which outlive StreamOriginTasks.
struct StreamOriginDependencies {
  asio::io_context &Context_;
  asio::io_context &TrafficContext_;
  AsyncObjectStore &Store_;
  TrafficPlane &Traffic_;
  MedianClock const &Clock_;
  RecordCodec const &Codec_;
  EventLog &Log_;
};

/// Records the origins of this instance's streams in the store while several
/// software versions serve, and finds the origins of streams that clients take
/// up here. Runs on the control thread.
class StreamOriginTasks {
public:
  /// Name is the instance's name, which its later incarnations keep.
  StreamOriginTasks(StreamOriginDependencies Dependencies,
                    std::string const &Name);

  /// Starts answering the traffic thread. To be called before traffic arrives.
  void start();
  void replaceServers(std::vector<ServerRecord> const &Servers);
  void updateServer(ServerRecord const &Server);
  void removeServer(ServerId const &Id);
  void setTable(std::shared_ptr<RouteTable const> Table);
  void setReaderRole(relay::ReaderRole Role);
  void setPeers(std::size_t Live, std::size_t Registered);
  ContactMonitor &contact() { return Contact_; }
  void onStoreRestored();

private:
  void serversChanged();
  void onUnidentified(ServerId const &Incarnation);
  void forgetUnidentified(TimePoint Now);
  void find(StreamTakeUp const &Wanted, StreamOriginRecords::Done const &Done);
  /// Logs what an answer rests on, as of the time of the question.
  StreamOriginRecords::Done logged(StreamTakeUp const &Wanted, TimePoint Now,
                                   StreamOriginRecords::Done Done) const;
  /// Whether this instance hears from most others, as of now.
  StreamOriginRecords::PeerReach peerReach(TimePoint Now);
  Duration timeOfDay(TimePoint Now) const {
    return Dependencies_.Clock_.read(Now);
  }
  /// Has the traffic thread report its streams while they have to be recorded.
  void setRecording(bool IsMixed);
  /// Ticks while there is anything to do.
  void arm();
  void tick();

  StreamOriginDependencies Dependencies_;
  std::shared_ptr<StreamOriginRecords> Records_;
  std::map<ServerId, ServerRecord> Servers_;
  /// Incarnations whose processes did not identify themselves, and when.
  std::map<ServerId, TimePoint> Unidentified_;
  ContactMonitor Contact_;
  std::size_t Live_ = 1;
  std::size_t Registered_ = 0;
  asio::steady_timer Timer_;
  bool IsArmed_ = false;
  bool IsRecording_ = false;
};

} // namespace laburnum
