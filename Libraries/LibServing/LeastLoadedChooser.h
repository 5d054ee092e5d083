#pragma once

#include <LibBackend/BackendClient.h>
#include <LibModel/Configuration.h>
#include <LibServing/ServerChooser.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <vector>

namespace laburnum {

/// Chooses the less loaded of two random servers that accept new work. Whether
/// a server is full is decided only by the attempts that run there through this
/// chooser; the load that servers report lags and only affects the preference.
/// A server that could not be connected to is backed off for a cool-down that
/// doubles with each failure. Thread-safe.
class LeastLoadedChooser : public ObservableChooser {
public:
  explicit LeastLoadedChooser(std::uint64_t Seed) : Generator_(Seed) {}

  /// Sets the configuration in force and the servers that accept no new work.
  void setSnapshot(std::shared_ptr<Configuration const> Snapshot,
                   std::set<ServerId> Leaving);
  /// Sets the load that a server reported last.
  void setLoad(ServerId const &Server, LoadReport const &Load);
  std::uint32_t running(ServerId const &Server) const override;
  bool isBackedOff(ServerId const &Server, TimePoint Now) const override;

  Result<BackendServer> choose(RouteQuery const &Query, TimePoint Now) override;
  void release(ServerId const &Server, RouteQuery const &Query,
               AttemptEvidence const &Evidence, TimePoint Now) override;

private:
  struct ServerState {
    std::uint32_t Running_ = 0;
    LoadReport Load_;
    std::uint32_t FailedConnections_ = 0; ///< In a row.
    TimePoint BackOffUntil_ = TimePoint::min();
  };

  bool isUsable(BackendServer const &Server, RouteQuery const &Query,
                TimePoint Now) const;
  bool hasRoom(BackendServer const &Server) const;
  double loadOf(BackendServer const &Server) const;
  BackendServer const &pick(std::vector<BackendServer const *> const &Free);
  ServerState const &stateOf(ServerId const &Server) const;
  void dropAbsentServers();

  mutable std::mutex Mutex_;
  std::shared_ptr<Configuration const> Snapshot_ =
      std::make_shared<Configuration const>();
  std::set<ServerId> Known_; ///< All servers of the snapshot.
  std::set<ServerId> Leaving_;
  std::map<ServerId, ServerState> Servers_;
  std::mt19937_64 Generator_;
};

} // namespace laburnum
