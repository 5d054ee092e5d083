#pragma once

#include <EngineStandin/Hosting/HttpHost.h>
#include <LibCore/Time.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace laburnum {

/// What the next calls meet instead of a plain answer.
enum class ServiceFault {
  None,
  ResetBeforeRun, ///< The connection is reset and the call does not run.
  ResetAfterRun,  ///< The call runs and the connection is reset.
  Refuse,         ///< 503 with Laburnum-Refused: yes.
  Slow,           ///< The call runs and is answered after a delay.
  PartialAnswer,  ///< The call runs; half of its answer comes.
};

struct FaultPlan {
  ServiceFault Kind_ = ServiceFault::None;
  std::uint32_t Count_ = 0; ///< Calls that are still to meet it.
  Duration Delay_{};        ///< Of Slow.

  auto operator<=>(FaultPlan const &) const = default;
};

struct ServiceCounts {
  std::uint64_t Runs_ = 0;
  std::map<std::string, std::uint64_t> ByKey_;
  std::map<std::string, std::uint64_t> ByPath_;

  auto operator<=>(ServiceCounts const &) const = default;
};

/// A plain service that counts what it ran. It answers every call with 200
/// and JSON {"path","target","method","run","key"}; GET /counts and
/// POST /faults are its own.
class ServiceServer {
public:
  explicit ServiceServer(std::size_t Threads);
  ~ServiceServer();

  /// The port listened on, 0 on failure.
  std::uint16_t start(std::uint16_t Port);
  void stop();

  /// Called on any thread after each run, for whoever waits for one. To be set
  /// before start().
  void onRun(std::function<void()> Told) { OnRun_ = std::move(Told); }
  void setFault(FaultPlan Plan);
  ServiceCounts counts();

private:
  void setRoutes();
  void serve(httplib::Request const &Request, httplib::Response &Response);
  FaultPlan takeFault();
  std::string run(httplib::Request const &Request);
  void wait(Duration Delay);
  void takeFaultBody(httplib::Request const &Request,
                     httplib::Response &Response);
  void countsAnswer(httplib::Response &Response);

  std::mutex Mutex_;
  std::condition_variable Stopping_;
  bool IsStopping_ = false;
  std::atomic<std::uint32_t> Running_ = 0;
  FaultPlan Fault_;
  ServiceCounts Counts_;
  std::function<void()> OnRun_;
  HttpHost Host_;
};

} // namespace laburnum
