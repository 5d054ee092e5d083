#pragma once

#include <LibTraffic/AdmissionQueue.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace laburnum::rate_limits {

/// Whether the instances know each other's demand.
enum class DemandReports { None, Exchanged };

/// Simulates entry instances that share backend servers with rate limits, the
/// requests that reach them, and their messages. Single-threaded, without a
/// network.
class RateLimitedFleet {
public:
  struct Settings {
    std::size_t Instances_ = 8;
    std::size_t Servers_ = 4;
    double RequestsPerSecond_ = 10.0; ///< That reach each instance.
    Duration MaxQueueTime_ = std::chrono::milliseconds(300);
    std::uint64_t Seed_ = 1;
    DemandReports Demand_ = DemandReports::None;
  };
  struct Arrival {
    TimePoint At_;
    std::size_t Instance_;
  };
  struct Refusal {
    Duration Waited_{};
    Duration RetryAfter_{};
  };

  explicit RateLimitedFleet(Settings Settings);

  void pass(Duration Time);
  /// Sets the limit that the server states in each answer.
  void state(std::size_t Server, std::optional<double> RequestsPerSecond);
  void setDemand(std::size_t Instance, double RequestsPerSecond);
  /// Starts the instance again; it knows no limits and no peers.
  void restart(std::size_t Instance);
  /// Stops an instance for good.
  void remove(std::size_t Instance);
  /// No messages pass between the instances cut off and the others.
  void cut(std::set<std::size_t> Instances);
  void loseMessages(bool Lost) { AreMessagesLost_ = Lost; }

  /// The most arrivals in 4 s from From on, from instances that were not
  /// excused.
  std::size_t mostInWindow(std::size_t Server, TimePoint From,
                           std::set<std::size_t> const &Excused = {}) const;
  std::size_t arrivals(std::size_t Server, TimePoint From) const;

  TimePoint Now_{std::chrono::seconds(1000)};
  std::size_t Served_ = 0;
  std::vector<Refusal> Refusals_;

private:
  struct Instance {
    std::unique_ptr<ServerRoster> Roster_;
    std::unique_ptr<AdmissionQueue> Queue_;
    std::map<std::uint64_t, TimePoint> QueuedSince_;
    double Demand_ = 0.0;
    bool IsRemoved_ = false;
  };
  struct Server {
    ServerRecord Record_;
    std::optional<double> Limit_;
    std::vector<Arrival> Arrivals_;
  };
  struct Answer {
    std::size_t Instance_;
    std::size_t Server_;
    TimePoint SentAt_;
    std::optional<double> Limit_;
    ServerRoster const *Sender_; ///< Not the roster of a later incarnation.
  };
  struct Message {
    std::size_t To_;
    ServerRateLimits Limits_;
  };

  void start(std::size_t Number);
  void updateFleet();
  bool areConnected(std::size_t Left, std::size_t Right) const;
  void receiveRequests(std::size_t Number);
  void handle(std::size_t Number,
              std::vector<AdmissionOutcome> const &Outcomes);
  void deliver();
  void onAnswer(Answer const &Received);
  void send(std::size_t From, std::size_t To, ServerRateLimits const &Limits);
  void repeatLimits();

  Settings Settings_;
  std::mt19937_64 Generator_;
  std::vector<Instance> Instances_;
  std::vector<Server> Servers_;
  std::multimap<TimePoint, Answer> Answers_;
  std::multimap<TimePoint, Message> Messages_;
  std::set<std::size_t> CutOff_;
  std::uint64_t NextTicket_ = 1;
  TimePoint NextRepeat_{};
  bool AreMessagesLost_ = false;
};

} // namespace laburnum::rate_limits
