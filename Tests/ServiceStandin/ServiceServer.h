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

/// A fault injected into the next calls.
enum class ServiceFault {
  None,
  ResetBeforeRun, ///< The call does not run and the connection is reset.
  ResetAfterRun,  ///< The call runs and the connection is reset.
  Refuse,         ///< 503 with Laburnum-Refused: yes.
  Slow,           ///< The call runs and is answered after a delay.
  PartialAnswer,  ///< The call runs; half of its answer is sent.
};

struct FaultPlan {
  ServiceFault Kind_ = ServiceFault::None;
  std::uint32_t Count_ = 0; ///< Remaining calls to inject it into.
  Duration Delay_{};        ///< For Slow.

  auto operator<=>(FaultPlan const &) const = default;
};

struct ServiceCounts {
  std::uint64_t Runs_ = 0;
  std::map<std::string, std::uint64_t> ByKey_;
  std::map<std::string, std::uint64_t> ByPath_;

  auto operator<=>(ServiceCounts const &) const = default;
};

/// A plain service that counts the calls it ran. It answers every call with 200
/// and JSON {"path","target","method","run","key"}, except GET /counts and
/// POST /faults, which control it.
class ServiceServer {
public:
  explicit ServiceServer(std::size_t Threads);
  ~ServiceServer();

  /// Returns the port listened on, or 0 on failure.
  std::uint16_t start(std::uint16_t Port);
  void stop();

  /// Sets a handler that is called on any thread after each run. Must be set
  /// before start().
  void onRun(std::function<void()> Handler) { OnRun_ = std::move(Handler); }
  void setFault(FaultPlan Plan);
  ServiceCounts counts();

private:
  void setRoutes();
  void serve(httplib::Request const &Request, httplib::Response &Response);
  FaultPlan takeFault();
  std::string run(httplib::Request const &Request);
  void wait(Duration Delay);
  void handleFaultRequest(httplib::Request const &Request,
                          httplib::Response &Response);
  void answerCounts(httplib::Response &Response);

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
