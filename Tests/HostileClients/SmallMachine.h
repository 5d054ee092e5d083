#pragma once

#include <EntryProcess/EntryProcess.h>
#include <EntryProcess/ServerStandin.h>
#include <EntryProcess/StandinThread.h>
#include <EntryProcess/StoreStandin.h>

#include <compare>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace laburnum::hostile_clients {

/// What differs between the machines of the tests.
struct MachineShape {
  std::size_t Descriptors_ = 400;
  std::size_t Slots_ = 8; ///< Requests that the server takes at a time.
  int RouteTimeoutMilliseconds_ = 2000;
  int TargetLatencyMilliseconds_ = 400;

  auto operator<=>(MachineShape const &) const = default;
};

/// A laburnum-entry process on a small machine, with one server.
class SmallMachine {
public:
  /// The machine that the settings describe.
  static constexpr std::size_t MemoryMegabytes = 64;
  static constexpr std::size_t Memory = MemoryMegabytes << 20;
  /// The largest body that the configuration allows.
  static constexpr std::size_t MaxBody = std::size_t{1} << 20;

  explicit SmallMachine(MachineShape Shape = {},
                        std::unique_ptr<HttpService> Server =
                            std::make_unique<entry_process::ServerStandin>());
  ~SmallMachine();
  SmallMachine(SmallMachine const &) = delete;
  SmallMachine &operator=(SmallMachine const &) = delete;

  Endpoint traffic() const {
    return {Instance_->address(), entry_process::EntryProcess::TrafficPort};
  }
  /// Returns how many requests of clients have been answered or given up.
  std::size_t settledRequests() const;
  /// Returns how many of them were given up for want of room.
  std::size_t givenUpRequests() const;
  /// Checks what has to hold whatever clients have sent, until the process has
  /// read everything.
  void check();

  entry_process::EntryProcess &instance() { return *Instance_; }

private:
  /// Returns the sum of the counters of requests with these outcomes.
  std::size_t countRequests(std::vector<std::string> const &Outcomes) const;

  MachineShape const Shape_;
  entry_process::StandinThread Thread_;
  entry_process::StoreStandin Store_{Thread_.context()};
  std::unique_ptr<HttpService> Server_;
  std::shared_ptr<HttpListener> StoreListener_;
  std::shared_ptr<HttpListener> ServerListener_;
  std::unique_ptr<entry_process::EntryProcess> Instance_;
};

} // namespace laburnum::hostile_clients
