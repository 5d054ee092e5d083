#pragma once

#include "StoreStandin.h"

#include <LibHttp/HttpListener.h>

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laburnum::entry_process {

struct CrashableServerTimings {
  Duration Downtime_{}; ///< From a server's crash to its restart.
  Duration Work_{};     ///< Time to answer a request that does not crash it.
};

/// Stand-in for a backend server that crashes when it starts to run a request
/// whose path contains "deadly", or whose prompt has a part "dead". It restarts
/// after Downtime_ at the same address with a new identifier. Used on the
/// thread of its io_context.
class CrashableServer : public HttpService {
public:
  CrashableServer(asio::io_context &Context, StoreStandin &Store,
                  unsigned Number, CrashableServerTimings Timings);

  /// Called with the attempt identifier of each request that starts to run and
  /// the number of the server.
  using RunListener = std::function<void(std::string const &, unsigned)>;
  void setRunListener(RunListener Listener) {
    RunListener_ = std::move(Listener);
  }

  /// Sets the rate limit stated in each answer; nothing: none is stated. A
  /// crash ends it.
  void setRateLimit(std::optional<std::string> Text);
  /// States the limit for that time, unless it is replaced or the server
  /// crashes before. OnLifted is called at the end of that time.
  void setRateLimitFor(std::string Text, Duration Time,
                       std::function<void()> OnLifted);
  /// When requests arrived, in order.
  std::vector<TimePoint> const &arrivals() const { return Arrivals_; }

  /// Starts an incarnation: listens and registers in the store.
  void startIncarnation();
  void stop();
  /// Simulates a crash: aborts all running requests and schedules a restart.
  void crash();

  ClientBounds bounds() const override { return {}; }
  void onRequest(std::shared_ptr<Exchange> Exchange,
                 ReceivedRequest Request) override;

  /// Returns the answer to a request that does not crash the server.
  static std::string expectedAnswer(std::string_view AttemptId);
  bool isDown() const { return !Listener_; }
  /// Returns the identifier of the current incarnation.
  std::string id() const { return Name_ + '-' + std::to_string(Incarnations_); }
  std::size_t incarnations() const { return Incarnations_; }
  /// Returns the number of crashing requests that this server received.
  std::size_t crashingRequests() const { return CrashingRequests_; }

private:
  static bool isCrashing(RequestHead const &Head);
  void work(std::shared_ptr<Exchange> const &Exchange, AnswerHead const &Head);

  asio::io_context &Context_;
  StoreStandin &Store_;
  unsigned const Number_;
  std::string const Name_;
  CrashableServerTimings const Timings_;
  Endpoint const Address_;
  asio::steady_timer RestartTimer_;
  asio::steady_timer LimitTimer_;
  std::shared_ptr<HttpListener> Listener_;
  std::size_t Incarnations_ = 0;
  std::size_t CrashingRequests_ = 0;
  std::set<std::shared_ptr<Exchange>> Running_;
  RunListener RunListener_;
  std::optional<std::string> RateLimit_;
  std::vector<TimePoint> Arrivals_;
};

} // namespace laburnum::entry_process
