#pragma once

#include "CpuQuota.h"
#include "Rotation.h"
#include "Shape.h"

#include <EntryProcess/StreamServers.h>

#include <nlohmann/json.hpp>

#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace laburnum::shape_soak {

/// The instances of a shape and its servers. Only the addresses and the
/// rotation may be used on other threads.
class ShapeFleet {
public:
  /// Instances beyond those of the shape may be started later. Logs is a folder
  /// for what the instances write, or empty.
  ShapeFleet(Shape const &Played, std::filesystem::path Logs);
  ~ShapeFleet();
  ShapeFleet(ShapeFleet const &) = delete;
  ShapeFleet &operator=(ShapeFleet const &) = delete;

  Shape const &shape() const { return Shape_; }
  entry_process::StreamServers &servers() { return Servers_; }
  CpuQuota &quota() { return Quota_; }
  Rotation &rotation() { return Rotation_; }
  std::string const &address(std::size_t Instance) {
    return Servers_.instance(Instance).address();
  }
  /// Starts a server and lists it. Others are options beside the usual ones.
  void addServer(std::string const &Id, std::string const &Service,
                 std::string const &Framing, std::vector<std::string> Others);
  /// Starts the instances of the shape. Servers have been listed before.
  void startInstances();
  void launch(std::size_t Instance);
  /// Ends the limit of the instance's time and sends the signal.
  void signal(std::size_t Instance, int Number);
  /// Lets an instance that was stopped go on.
  void goOn(std::size_t Instance);
  /// Returns an instance that was never started, and counts it as started.
  std::size_t takeSpare();
  /// Stores a change of the configuration.
  void changeConfiguration();
  void saveLog(std::size_t Instance);
  /// Writes what all have logged.
  void saveLogs();
  std::set<std::size_t> const &started() const { return Started_; }

private:
  nlohmann::json configuration() const;

  Shape const Shape_;
  std::filesystem::path const Logs_;
  entry_process::StreamServers Servers_;
  Rotation Rotation_;
  CpuQuota Quota_;
  std::set<std::size_t> Started_;
  std::uint64_t Version_ = 1;
  std::map<std::size_t, unsigned> SavedLogs_;
};

} // namespace laburnum::shape_soak
