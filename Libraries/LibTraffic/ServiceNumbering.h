#pragma once

#include <LibTraffic/EventNumbering.h>

#include <map>

namespace laburnum {

/// Remembers the largest step between the identifiers of two events that a
/// server of each service has sent one after the other.
class ServiceNumbering : public exchange::EventNumbering {
public:
  void onStep(ServiceName const &Service, std::uint64_t Step) override;
  bool mayFollow(ServiceName const &Service, std::uint64_t Step) const override;

private:
  std::map<ServiceName, std::uint64_t> LargestSteps_;
};

} // namespace laburnum
