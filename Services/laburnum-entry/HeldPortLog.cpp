#include "HeldPortLog.h"

#include <utility>

namespace laburnum {

namespace {

std::string addressText(Endpoint const &Address) {
  return Address.Host_ + ':' + std::to_string(Address.Port_);
}

} // namespace

HeldPortLog::HeldPortLog(EventLog &Log, Endpoint Address, std::string Purpose)
    : Log_(Log), Address_(std::move(Address)), Purpose_(std::move(Purpose)) {}

void HeldPortLog::onFailure(Error const &Failure, TimePoint Now) {
  if (HeldSince_ && Now < LoggedAt_ + LogPeriod)
    return;
  if (!HeldSince_)
    HeldSince_ = Now;
  LoggedAt_ = Now;
  Log_.write(LogLine("port_held")
                 .add("address", addressText(Address_))
                 .add("for", Purpose_)
                 .add("held_ms", Now - *HeldSince_)
                 .add("why", toString(Failure)));
}

void HeldPortLog::onOpened(TimePoint Now) {
  if (!HeldSince_)
    return;
  Log_.write(LogLine("port_open")
                 .add("address", addressText(Address_))
                 .add("for", Purpose_)
                 .add("held_ms", Now - *HeldSince_));
  HeldSince_.reset();
}

} // namespace laburnum
