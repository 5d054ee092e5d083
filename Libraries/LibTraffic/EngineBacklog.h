#pragma once

#include <LibCore/Time.h>
#include <LibPeer/EngineWork.h>
#include <LibTraffic/RequestWork.h>

#include <cstdint>
#include <map>
#include <vector>

namespace laburnum {

/// Tracks the work that all entry instances have placed at each model server:
/// this instance's own requests exactly, those of the others as the collectors
/// last reported them.
class EngineBacklog {
public:
  /// Work at one server at this moment, in tokens.
  struct Load {
    std::uint64_t UnreadTokens_ = 0;
    std::uint64_t MemoryTokens_ = 0;
    /// See ServerWork::PreferredPerSecond_.
    double PreferredPerSecond_ = 0.0;

    auto operator<=>(Load const &) const = default;
  };

  void onSent(ServerId const &Incarnation, RequestWork const &Work);
  /// The server has begun to answer, so that it has read the prompt.
  void onRead(ServerId const &Incarnation, RequestWork const &Work);
  enum class Progress { Unread, Read };
  /// An attempt is over. At tells how far its server had come.
  void onEnded(ServerId const &Incarnation, RequestWork const &Work,
               Progress At);
  /// A request prefers the server for its shared parts, wherever it is sent.
  void onPreferred(ServerId const &Incarnation, RequestWork const &Work);

  /// Returns this instance's work by server. To be called once for each report.
  std::vector<ServerWork> report(TimePoint Now);
  /// Takes in the sum over all instances.
  void onSum(std::vector<ServerWork> const &Servers, TimePoint Now);

  /// How long reported work of other instances counts.
  void setReportPeriod(Duration Period);
  Load load(ServerId const &Incarnation, TimePoint Now) const;

private:
  struct Own {
    std::uint64_t UnreadTokens_ = 0;
    std::uint64_t MemoryTokens_ = 0;
    std::uint64_t PreferredTokens_ = 0; ///< Since the last report.
    double PreferredPerSecond_ = 0.0;   ///< Smoothed.
    ServerWork LastReported_ = {};

    bool isIdle() const {
      return UnreadTokens_ == 0 && MemoryTokens_ == 0 &&
             PreferredTokens_ == 0 && PreferredPerSecond_ < 1.0;
    }
  };
  /// Of the other instances.
  struct Remote {
    std::uint64_t UnreadTokens_ = 0;
    std::uint64_t MemoryTokens_ = 0;
    double PreferredPerSecond_ = 0.0; ///< This instance included.
  };

  bool isFresh(TimePoint Now) const;

  std::map<ServerId, Own> Own_;
  std::map<ServerId, Remote> Remote_;
  TimePoint ReportedAt_ = TimePoint::min();
  TimePoint SumAt_ = TimePoint::min();
  Duration Validity_ = std::chrono::milliseconds(2000);
};

} // namespace laburnum
