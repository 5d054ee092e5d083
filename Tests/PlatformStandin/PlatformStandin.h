#pragma once

#include <PlatformStandin/BreakableServer.h>
#include <PlatformStandin/StandinCloud.h>
#include <PlatformStandin/StandinCounters.h>
#include <PlatformStandin/StandinFaults.h>
#include <PlatformStandin/StandinStore.h>

#include <LibPlatform/CallRateLimit.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace laburnum {

/// Rates of 0 mean no limit.
struct StandinOptions {
  std::string Host_ = "127.0.0.1";
  std::uint16_t Port_ = 0; ///< 0 selects any free port.
  double WritesPerSecond_ = 0;
  double ReadsPerSecond_ = 0; ///< get, list and watch.
  double WeightsPerSecond_ = 0;
  Duration ListLag_{};
  std::size_t Threads_ = 64; ///< One for each open connection.
  /// Called on any thread when a write arrives and again when it has been
  /// handled, so that a test can wait for writes.
  std::function<void(std::string const &)> OnWrite_ = nullptr;
};

/// The platform of docs/PROTOCOLS.md over HTTP, in memory, with faults that can
/// be enabled. Besides the platform's calls:
///   POST /faults {"kind", "on", "delay_ms", "count"}: kinds as StandinFault in
///     snake case, stale_reads (as of this call) and restore (reverts the last
///     `count` writes);
///   POST /reclaims {"instance", "data_centre", "remaining_ms"};
///   GET /counters.
/// These three also work during an outage.
class PlatformStandin {
public:
  /// nullptr when the address cannot be bound.
  static std::unique_ptr<PlatformStandin> start(StandinOptions const &Options);
  ~PlatformStandin();

  std::uint16_t port() const { return Port_; }
  StandinStore &store() { return Store_; }
  StandinCloud &cloud() { return Cloud_; }
  StandinFaults &faults() { return Faults_; }
  StandinCounters const &counters() const { return Counters_; }

private:
  using Request = httplib::Request;
  using Response = httplib::Response;
  using Handler = void (PlatformStandin::*)(Request const &, Response &);
  using Counter = std::atomic<std::uint64_t> StandinCounters::*;

  explicit PlatformStandin(StandinOptions const &Options);
  bool listen(StandinOptions const &Options);
  void addRoutes();

  /// Wraps a platform call: counts it, applies the faults Slow and Outage and
  /// the rate limit, then calls Handle.
  httplib::Server::Handler platformCall(Counter Kind, CallRateLimit *Limit,
                                        Handler Handle);
  httplib::Server::Handler withWriteEvents(httplib::Server::Handler Write);
  httplib::Server::Handler direct(Handler Handle);
  bool isWithinRateLimit(CallRateLimit *Limit);
  void refuse(Response &Answer, int Status);

  void readObject(Request const &HttpRequest, Response &Answer);
  void listObjects(Request const &HttpRequest, Response &Answer);
  void writeObject(Request const &HttpRequest, Response &Answer);
  void watchObjects(Request const &HttpRequest, Response &Answer);
  void listInstances(Request const &HttpRequest, Response &Answer);
  void registerInstance(Request const &HttpRequest, Response &Answer);
  void serveNotices(Request const &HttpRequest, Response &Answer);
  void startInstance(Request const &HttpRequest, Response &Answer);
  void stopInstance(Request const &HttpRequest, Response &Answer);
  void serveWeights(Request const &HttpRequest, Response &Answer);
  void switchFault(Request const &HttpRequest, Response &Answer);
  void reclaimInstance(Request const &HttpRequest, Response &Answer);
  void showCounters(Request const &HttpRequest, Response &Answer);

  StandinStore Store_;
  StandinCloud Cloud_;
  StandinFaults Faults_;
  StandinCounters Counters_;
  std::function<void(std::string const &)> const OnWrite_;
  std::mutex LimitsMutex_; ///< Guards the three limits.
  CallRateLimit Reads_;
  CallRateLimit Writes_;
  CallRateLimit Weights_;
  BreakableServer Server_;
  std::uint16_t Port_ = 0;
  std::thread Listener_;
};

} // namespace laburnum
