#pragma once

#include <LibCallers/FlowRunner.h>
#include <LibFleet/ServerDirectory.h>
#include <LibModel/Configuration.h>

#include <memory>
#include <mutex>

namespace laburnum {

/// The control state as traffic threads see it: immutable snapshots that the
/// control thread replaces.
class TrafficView : public LeavingServers {
public:
  std::shared_ptr<Configuration const> configuration() const;
  void setConfiguration(std::shared_ptr<Configuration const> Next);

  std::shared_ptr<servers::Departures const> departures() const;
  void setDepartures(std::shared_ptr<servers::Departures const> Next);

  std::optional<Duration> remaining(ServerId const &Server,
                                    TimePoint Now) const override;

private:
  mutable std::mutex Mutex_;
  std::shared_ptr<Configuration const> Configuration_ =
      std::make_shared<Configuration const>();
  std::shared_ptr<servers::Departures const> Departures_ =
      std::make_shared<servers::Departures const>();
};

} // namespace laburnum
