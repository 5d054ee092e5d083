#pragma once

#include <LibCore/Error.h>
#include <LibCore/Time.h>
#include <LibLog/EventLog.h>
#include <LibModel/Endpoint.h>

#include <optional>
#include <string>

namespace laburnum {

/// Logs that a port cannot be opened: when that is found, once in each
/// LogPeriod while it lasts, and when the port is open.
class HeldPortLog {
public:
  static constexpr std::chrono::seconds LogPeriod{10};

  /// The log has to outlive this object. Purpose says what the port is for.
  HeldPortLog(EventLog &Log, Endpoint Address, std::string Purpose);

  void onFailure(Error const &Failure, TimePoint Now);
  void onOpened(TimePoint Now);

private:
  EventLog &Log_;
  Endpoint Address_;
  std::string Purpose_;
  std::optional<TimePoint> HeldSince_;
  TimePoint LoggedAt_{};
};

} // namespace laburnum
