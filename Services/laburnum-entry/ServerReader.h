#pragma once

#include "ControlPlane.h"

namespace laburnum {

/// Applies the list of backend servers read from the store.
class ControlPlane::ServerReader : public CollectionReader {
public:
  explicit ServerReader(ControlPlane &Plane) : Plane_(Plane) {}

  void onListed(ObjectList const &Listed) override {
    std::vector<ServerRecord> Records;
    for (auto const &Object : Listed.Objects_)
      if (auto const Record = Plane_.Dependencies_.Codec_.decodeServer(Object))
        Records.push_back(*Record);
    Plane_.Dependencies_.Log_.write(LogLine("servers_listed")
                                        .add("revision", Listed.StoreVersion_)
                                        .add("servers", Records.size()));
    Plane_.LeaseHolderTasks_.replaceServers(Records);
    Plane_.StreamOriginTasks_.replaceServers(Records);
    auto &Traffic = Plane_.Dependencies_.Traffic_;
    Plane_.onTraffic([&Traffic, Records] { Traffic.replaceServers(Records); });
    Plane_.HasServerList_ = true;
  }
  void onChanged(WatchBatch const &Changes) override {
    for (auto const &Object : Changes.Objects_)
      change(Object);
  }
  void onCurrent(Version StoreVersion) override {
    auto &Traffic = Plane_.Dependencies_.Traffic_;
    Plane_.onTraffic(
        [&Traffic, StoreVersion] { Traffic.onServersCurrent(StoreVersion); });
  }
  void onLost(Error const &Reason) override {
    Plane_.Dependencies_.Metrics_.DependenciesLost_.add();
    Plane_.Dependencies_.Log_.write(LogLine("dependency_lost")
                                        .add("what", "store/servers")
                                        .add("why", Reason.Message_));
  }
  void onRegained() override {
    Plane_.Dependencies_.Log_.write(
        LogLine("dependency_regained").add("what", "store/servers"));
  }

private:
  void change(StoredObject const &Object) {
    auto &Traffic = Plane_.Dependencies_.Traffic_;
    auto const Record = Object.Version_ == 0
                            ? std::nullopt
                            : Plane_.Dependencies_.Codec_.decodeServer(Object);
    LogLine Line("server_changed");
    Line.add("server", Object.Key_.Name_).add("revision", Object.Version_);
    if (!Record) {
      Plane_.Dependencies_.Log_.write(Line.add("state", "gone"));
      ServerId const Id(Object.Key_.Name_);
      Plane_.LeaseHolderTasks_.removeServer(Id);
      Plane_.StreamOriginTasks_.removeServer(Id);
      return Plane_.onTraffic([&Traffic, Id] { Traffic.removeServer(Id); });
    }
    Plane_.LeaseHolderTasks_.updateServer(*Record);
    Plane_.StreamOriginTasks_.updateServer(*Record);
    bool const IsReady = Record->Phase_ == ServerPhase::Ready;
    Plane_.Dependencies_.Log_.write(
        Line.add("state", IsReady ? "ready" : "draining")
            .add("service", Record->Service_.text())
            .add("born", Record->IncarnationStartMilliseconds_)
            .add("software", Record->SoftwareVersion_)
            .add("data_centre", Record->DataCentre_.text())
            .add("reclaimable", Record->IsReclaimable_));
    Plane_.onTraffic([&Traffic, Record] { Traffic.updateServer(*Record); });
  }

  ControlPlane &Plane_;
};

} // namespace laburnum
