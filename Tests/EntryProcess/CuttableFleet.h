#pragma once

#include "EntryProcess.h"
#include "ServerStandin.h"
#include "StandinThread.h"
#include "StoreStandin.h"

#include <asio/ip/tcp.hpp>

#include <filesystem>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnum::entry_process {

/// How a cut shows to the instance that is cut off.
enum class Cut {
  None,
  Hangs,      ///< Nothing passes, and new connections are not answered.
  Resets,     ///< Connections are reset, and new ones refused.
  RefusesNew, ///< Open connections live on.
};

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
  void cut(std::size_t Instance, Cut Cut) const;
  void setServerMode(ServerMode Mode);
  /// Returns how often requests of each path arrived at the servers.
  std::map<std::string, unsigned> runsByPath();

private:
  std::filesystem::path cutFile(std::size_t Instance) const {
    return Folder_ / ("cut-" + std::to_string(Instance));
  }
  /// Opens a port that answers no connection.
  std::uint16_t openBlackHole();

  StandinThread Thread_;
  StoreStandin Store_{Thread_.context()};
  ServerStandin Server_;
  std::filesystem::path Folder_;
  asio::ip::tcp::acceptor BlackHole_{Thread_.context()};
  std::list<asio::ip::tcp::socket> BlackHoleQueue_;
  std::vector<std::shared_ptr<HttpListener>> Listeners_;
  std::vector<std::unique_ptr<EntryProcess>> Instances_;
};

} // namespace laburnum::entry_process
