#pragma once

#include "EntryProcess.h"
#include "LinkCuts.h"
#include "ServerStandin.h"
#include "StandinThread.h"
#include "StoreStandin.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnum::entry_process {

/// Several laburnum-entry processes whose links to the servers can be cut.
class CuttableFleet {
public:
  static constexpr unsigned Servers = 3;

  explicit CuttableFleet(unsigned Instances);
  ~CuttableFleet();
  CuttableFleet(CuttableFleet const &) = delete;
  CuttableFleet &operator=(CuttableFleet const &) = delete;

  EntryProcess &instance(std::size_t Number) { return *Instances_[Number]; }
  std::size_t instances() const { return Instances_.size(); }
  /// Cuts an instance off from all servers, or heals its links.
  void cut(std::size_t Instance, Cut Cut) { Cuts_.cut(Instance, Cut); }
  void setServerMode(ServerMode Mode);
  /// Returns how often requests of each path arrived at the servers.
  std::map<std::string, unsigned> runsByPath();

private:
  StandinThread Thread_;
  StoreStandin Store_{Thread_.context()};
  ServerStandin Server_;
  LinkCuts Cuts_{Thread_};
  std::vector<std::shared_ptr<HttpListener>> Listeners_;
  std::vector<std::unique_ptr<EntryProcess>> Instances_;
};

} // namespace laburnum::entry_process
