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
  int Status_ = 0; ///< 0: none came.
  std::string Body_;

  /// error.run_state of a failure's body, or empty.
  std::string runState() const;
};

/// One call on a connection of its own.
Answer call(std::uint16_t Port, std::string const &Method,
            std::string const &Path, std::string const &Body = "",
            httplib::Headers const &Headers = {});

/// A stand-in and the port it listens on.
struct Standin {
  std::string Name_;
  std::unique_ptr<Process> Process_;
  std::uint16_t Port_ = 0;

  /// A number of GET /counts, such as "runs".
  std::uint64_t count(std::string const &Key) const;
  /// How often a call with this key ran.
  std::uint64_t runsOf(std::string const &Key) const;
  void fault(nlohmann::json const &Fault) const;
};

struct DaemonProcess {
  std::string Name_;
  std::unique_ptr<Process> Process_;
  std::uint16_t Callers_ = 0;
  std::uint16_t Operators_ = 0;
  std::uint16_t Peers_ = 0;
};

/// A platform, engines, services and instances on loopback, all real
/// processes. Two desks and two runners are configured through the first
/// instance.
class Site {
public:
  explicit Site(std::size_t Instances);
  ~Site();

  Standin &platform() { return *Platform_; }
  std::vector<std::unique_ptr<Standin>> &desks() { return Desks_; }
  std::vector<std::unique_ptr<Standin>> &runners() { return Runners_; }
  DaemonProcess &instance(std::size_t Index) { return *Instances_[Index]; }
  std::size_t instances() const { return Instances_.size(); }

  /// Starts one more instance, with the others as its seeds.
  DaemonProcess &addInstance();
  /// Applies a plain service with a server of its own through an instance.
  void applyService(std::size_t Index, std::string const &Name);

  httplib::Headers headers(std::string const &Key = "") const;
  Answer status(std::size_t Index) const;
  Answer fee(std::size_t Index, std::string const &Key) const;
  /// The text of a streamed completion; empty unless it ended whole. OnToken
  /// is called with the number of tokens so far.
  std::string completion(std::size_t Index, std::string const &Prompt,
                         std::uint32_t Tokens,
                         std::function<void(std::uint32_t)> OnToken = {}) const;
  /// Runs of the key over all desks.
  std::uint64_t runsOf(std::string const &Key) const;
  /// Whether a claim of the key is in the platform.
  bool isClaimed(std::string const &Key) const;
  bool serves(std::uint16_t Callers, std::string const &Path) const;

private:
  std::unique_ptr<Standin> startStandin(std::string const &Program,
                                        std::string const &Name,
                                        std::vector<std::string> Arguments);
  OperatorClient operatorOf(std::size_t Index) const;
  void configure();
  void applyServer(OperatorClient &Client, std::string const &Service,
                   Standin const &Server);

  std::string Folder_;
  std::string const Secret_ = "peers-of-one-test-site";
  std::string const OperatorKey_ = "operator-of-one-test-site";
  std::string const AccountKey_ = "account-of-one-test-site-0001";
  std::unique_ptr<Standin> Platform_;
  std::vector<std::unique_ptr<Standin>> Desks_;
  std::vector<std::unique_ptr<Standin>> Runners_;
  std::vector<std::unique_ptr<DaemonProcess>> Instances_;
  std::uint32_t Changes_ = 0;
};

} // namespace laburnum::processes
