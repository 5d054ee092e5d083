#pragma once

#include "CrashableServer.h"
#include "EntryProcess.h"
#include "StandinThread.h"
#include "StoreStandin.h"

#include <deque>
#include <memory>
#include <vector>

namespace laburnum::entry_process {

/// Several laburnum-entry processes with stand-ins of one store and of several
/// servers that can crash.
class EntryFleet {
public:
  EntryFleet(unsigned Instances, unsigned Servers,
             CrashableServerTimings Timings);
  ~EntryFleet();
  EntryFleet(EntryFleet const &) = delete;
  EntryFleet &operator=(EntryFleet const &) = delete;

  EntryProcess &instance(std::size_t Number) { return *Instances_[Number]; }
  std::size_t instances() const { return Instances_.size(); }
  /// Kills all instances and starts them again.
  void restart();
  std::size_t crashingRequestsReceived();
  bool areServersUp();
  /// Whether all servers are up and all instances have their entries.
  bool areServersKnown();
  /// Counts the lines with Text that the instances have written.
  std::size_t countLines(std::string const &Text);
  void setRunListener(CrashableServer::RunListener const &Listener);
  template <typename Function> auto onStore(Function Task) {
    return Thread_.on([&] { return Task(Store_); });
  }
  void setRateLimit(std::size_t Server, std::optional<std::string> Text);
  /// See CrashableServer::setRateLimitFor().
  void setRateLimitFor(std::size_t Server, std::string Text, Duration Time,
                       std::function<void()> OnLifted);
  std::vector<TimePoint> arrivals(std::size_t Server);
  /// Crashes a server without a crashing request.
  void crashServer(std::size_t Number);

private:
  void start();

  StandinThread Thread_;
  StoreStandin Store_{Thread_.context()};
  std::deque<CrashableServer> Servers_;
  std::shared_ptr<HttpListener> StoreListener_;
  std::vector<std::unique_ptr<EntryProcess>> Instances_;
};

} // namespace laburnum::entry_process
