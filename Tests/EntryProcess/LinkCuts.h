#pragma once

#include "StandinThread.h"

#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <list>
#include <map>
#include <set>
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

/// Cuts the links of cuttable-entry processes to the servers, to each other and
/// to the store.
class LinkCuts {
public:
  /// The stand-ins' thread has to be stopped before the cuts are destroyed, and
  /// its io_context has to outlive them.
  explicit LinkCuts(StandinThread &Thread);
  ~LinkCuts();
  LinkCuts(LinkCuts const &) = delete;
  LinkCuts &operator=(LinkCuts const &) = delete;

  /// Sets the environment of the instance that is started next.
  void prepareStart(std::size_t Instance,
                    std::vector<std::uint16_t> const &ServerPorts,
                    std::uint16_t StorePort = 0);
  /// Cuts an instance off from all servers, or heals its links.
  void cut(std::size_t Instance, Cut Cut);
  /// Drops what the instance sends to the others, given by their addresses, and
  /// what passes between it and the store, if that is in Dropped as StoreLink.
  /// New connections there are not answered.
  void drop(std::size_t Instance, std::set<std::string> Dropped);
  static constexpr char const *StoreLink = "store";

private:
  std::filesystem::path file(std::size_t Instance) const {
    return Folder_ / ("cut-" + std::to_string(Instance));
  }

  /// The cuts of one instance.
  struct Cuts {
    Cut Servers_ = Cut::None;
    std::set<std::string> Dropped_;
  };

  void write(std::size_t Instance) const;

  std::filesystem::path Folder_;
  std::map<std::size_t, Cuts> Cuts_;
  /// A port that answers no connection, as its queue is full.
  asio::ip::tcp::acceptor BlackHole_;
  std::list<asio::ip::tcp::socket> BlackHoleQueue_;
};

} // namespace laburnum::entry_process
