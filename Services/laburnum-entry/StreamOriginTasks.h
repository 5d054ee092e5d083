#pragma once

#include "RecordCodec.h"
#include "TrafficPlane.h"

#include <LibControl/PeerNetwork.h>
#include <LibControl/StoreRelay.h>
#include <LibControl/StreamOriginCopies.h>
#include <LibControl/StreamOriginRecords.h>
#include <LibLog/EventLog.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
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
                    std::string const &Name, EntryInstance const &Self);

  /// Starts answering the traffic thread. To be called before traffic arrives.
  void start(std::shared_ptr<PeerNetwork> Peers);
  void replaceServers(std::vector<ServerRecord> const &Servers);
  void updateServer(ServerRecord const &Server);
  void removeServer(ServerId const &Id);
  void setTable(std::shared_ptr<RouteTable const> Table);
  void setReaderRole(relay::ReaderRole Role);
  void setMembers(std::vector<Member> const &Members);
  /// Returns whether the message concerns copies of origins.
  bool onPeer(StoreUpdate const &Update);
  bool onPeer(SnapshotRequest const &Request);
  /// The history as it was received from another instance.
  void onHistoryListed(ObjectList const &Listed);
  void onHistoryChanged(std::vector<StoredObject> const &Objects);
  void onStoreRestored();

private:
  void serversChanged();
  void onNeed(StreamOriginDirectory::Need Need, ServiceName const &Service);
  /// Told is called once the copies were passed to the kernel or dropped.
  void onBegun(BegunStream const &Stream, std::function<void()> Told);
  void find(StreamTakeUp const &Wanted, StreamOriginRecords::Done const &Done);
  void send(std::vector<SendToPeer> const &Messages);
  /// Logs what an answer rests on, as of the time of the question.
  StreamOriginRecords::Done logged(StreamTakeUp const &Wanted, TimePoint Now,
                                   StreamOriginRecords::Done Done) const;
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
  StreamOriginCopies Copies_;
  std::shared_ptr<PeerNetwork> Peers_;
  std::map<ServerId, ServerRecord> Servers_;
  asio::steady_timer Timer_;
  bool IsArmed_ = false;
  bool IsRecording_ = false;
};

} // namespace laburnum
