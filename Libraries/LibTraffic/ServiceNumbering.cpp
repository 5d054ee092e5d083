#include <LibTraffic/ServiceNumbering.h>

#include <algorithm>

namespace laburnum {

void ServiceNumbering::onStep(ServiceName const &Service, std::uint64_t Step) {
  auto &Largest = LargestSteps_[Service];
  Largest = std::max(Largest, Step);
}

bool ServiceNumbering::mayFollow(ServiceName const &Service,
                                 std::uint64_t Step) const {
  auto const Known = LargestSteps_.find(Service);
  return Known == LargestSteps_.end() || Step <= Known->second;
}

} // namespace laburnum
