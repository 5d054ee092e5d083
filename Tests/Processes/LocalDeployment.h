#pragma once

#include "ProcessGroup.h"

#include <LibAdmin/OperatorClient.h>

#include <httplib.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace laburnum::processes {

struct Answer {
  int Status_ = 0; ///< 0: no answer was received.
  std::string Body_;

  /// Returns error.run_state of a failure's body, or an empty text.
  std::string runState() const;
};

/// Sends a request on a new connection.
Answer call(std::uint16_t Port, std::string const &Method,
            std::string const &Path, std::string const &Body = "",
            httplib::Headers const &Headers = {});

/// A stand-in process and the port on which it listens.
struct Standin {
  std::string Name_;
  std::unique_ptr<Process> Process_;
  std::uint16_t Port_ = 0;

  /// Returns a counter of GET /counts, such as "runs".
  std::uint64_t count(std::string const &Key) const;
  /// Returns how often a call with this key was executed.
  std::uint64_t runsOf(std::string const &Key) const;
  void injectFault(nlohmann::json const &Fault) const;
};

struct DaemonProcess {
  std::string Name_;
  std::unique_ptr<Process> Process_;
  std::uint16_t Callers_ = 0;
  std::uint16_t Operators_ = 0;
  std::uint16_t Peers_ = 0;
};

/// A platform, engines, services and entry instances on loopback, all real
/// processes. Two servers of a plain service and two engines are configured
/// through the first instance.
class LocalDeployment {
public:
  /// CallersSettings are lines of that section of each instance's settings.
  explicit LocalDeployment(std::size_t Instances,
                           std::string CallersSettings = "");
  ~LocalDeployment();

  Standin &platform() { return *Platform_; }
  std::vector<std::unique_ptr<Standin>> &serviceServers() { return Services_; }
  std::vector<std::unique_ptr<Standin>> &engines() { return Engines_; }
  DaemonProcess &instance(std::size_t Index) { return *Instances_[Index]; }
  std::size_t instances() const { return Instances_.size(); }

  /// Starts another instance with the existing ones as its seeds.
  DaemonProcess &addInstance();
  /// Starts an instance that has ended at the same ports as before, without
  /// waiting for it.
  void launchAgain(std::size_t Index);
  /// Applies a plain service with a new server through an instance.
  void applyService(std::size_t Index, std::string const &Name);
  /// Applies a plain service with a server of the caller's.
  void applyService(std::size_t Index, std::string const &Name,
                    Endpoint const &Server, std::uint32_t Capacity);

  httplib::Headers headers(std::string const &Key = "") const;
  Answer status(std::size_t Index) const;
  Answer fee(std::size_t Index, std::string const &Key) const;
  /// Returns the text of a streamed completion, or an empty text if it is
  /// incomplete. OnToken is called with the number of tokens so far.
  std::string completion(std::size_t Index, std::string const &Prompt,
                         std::uint32_t Tokens,
                         std::function<void(std::uint32_t)> OnToken = {}) const;
  /// Executions of calls with the key, summed over all servers of the service.
  std::uint64_t runsOf(std::string const &Key) const;
  /// Whether the platform stores a claim of the key.
  bool isClaimed(std::string const &Key) const;
  bool serves(std::uint16_t Callers, std::string const &Path) const;

private:
  std::unique_ptr<Standin> startStandin(std::string const &Program,
                                        std::string const &Name,
                                        std::vector<std::string> Arguments);
  /// Returns the path. A port of 0 leaves the choice to the system.
  std::string writeSettings(DaemonProcess const &Instance,
                            std::size_t Number) const;
  OperatorClient operatorOf(std::size_t Index) const;
  void configure();
  void applyServer(OperatorClient &Client, std::string const &Service,
                   Standin const &Server);

  std::string const CallersSettings_;
  std::string Folder_;
  std::string const Secret_ = "peers-of-one-test-site";
  std::string const OperatorKey_ = "operator-of-one-test-site";
  std::string const AccountKey_ = "account-of-one-test-site-0001";
  std::unique_ptr<Standin> Platform_;
  std::vector<std::unique_ptr<Standin>> Services_;
  std::vector<std::unique_ptr<Standin>> Engines_;
  std::vector<std::unique_ptr<DaemonProcess>> Instances_;
  std::uint32_t Changes_ = 0;
};

} // namespace laburnum::processes
