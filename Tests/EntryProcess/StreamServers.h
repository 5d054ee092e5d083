#pragma once

#include "EntryProcess.h"
#include "StandinThread.h"
#include "StoreStandin.h"

#include <LibHttp/HttpListener.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnum::entry_process {

/// Several laburnum-entry processes before servers that are processes of their
/// own (StreamServer/Main.cpp).
class StreamServers {
public:
  struct Settings {
    std::string Version_ = "v1";
    std::string Framing_ = "closes";
    std::string Term_ = "finishes";
    bool StatesStart_ = true;
    /// Answers after which the process kills itself; 0: never.
    std::uint64_t Lives_ = 0;
    /// Options beside these.
    std::vector<std::string> Others_ = {};
    /// Connections to it pass through another process.
    bool IsProxied_ = false;
    std::string Service_ = "desk";
  };

  /// Program is that of the instances.
  explicit StreamServers(unsigned Instances, std::string const &Program);
  ~StreamServers();
  StreamServers(StreamServers const &) = delete;
  StreamServers &operator=(StreamServers const &) = delete;

  /// Starts the instances. Servers have been listed before.
  void startInstances();
  EntryProcess &instance(std::size_t Number) { return *Instances_[Number]; }
  std::size_t instances() const { return Instances_.size(); }

  /// Starts a server that was never started and lists it.
  void add(std::string const &Id, Settings Settings);
  /// Starts another process of the server at its port. The list does not say so
  /// until list(). The process before goes on unless it has been ended.
  void restart(std::string const &Id, std::string const &Version);
  void list(std::string const &Id, std::string const &State = "ready");
  /// Removes the server from the list and ends its process.
  void remove(std::string const &Id);
  void configure(nlohmann::json Configuration);
  template <typename Function> auto onStore(Function Task) {
    return Thread_.on([&] { return Task(Store_); });
  }
  Settings const &settings(std::string const &Id) const {
    return Servers_.at(Id).Settings_;
  }
  processes::Process &process(std::string const &Id) {
    return *Servers_.at(Id).Process_;
  }
  processes::Process &proxy(std::string const &Id) {
    return *Servers_.at(Id).Proxy_;
  }
  /// Returns how often servers began to run a request of each path that begins
  /// with Prefix.
  std::map<std::string, unsigned> runs(std::string const &Prefix);
  /// All lines with Text that servers have written.
  std::vector<std::string> lines(std::string const &Text);

private:
  struct Server {
    Settings Settings_;
    std::uint16_t Port_ = 0;
    std::int64_t Born_ = 0;
    std::unique_ptr<processes::Process> Process_;
    std::unique_ptr<processes::Process> Proxy_;
    std::uint16_t ProxyPort_ = 0;
  };

  void launch(std::string const &Id);

  StandinThread Thread_;
  StoreStandin Store_{Thread_.context()};
  std::shared_ptr<HttpListener> StoreListener_;
  std::int64_t LastBorn_ = 1700000000000;
  std::uint64_t Sequence_ = 0;
  std::map<std::string, Server> Servers_;
  std::vector<std::unique_ptr<processes::Process>> Replaced_;
  std::vector<std::unique_ptr<EntryProcess>> Instances_;
};

} // namespace laburnum::entry_process
