#pragma once

#include "ShapeClient.h"

#include <LibCore/Time.h>

#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace laburnum::shape_soak {

/// Connections to instances that clients use again.
class KeptConnections {
public:
  /// Returns an open connection to the address, or nothing.
  std::unique_ptr<ShapeClient> take(std::string const &Address);
  void put(std::string const &Address, std::unique_ptr<ShapeClient> Kept);
  /// How many had received bytes that no request had asked for.
  std::uint64_t unasked();

private:
  struct Idle {
    std::unique_ptr<ShapeClient> Connection_;
    TimePoint End_;
  };

  std::mutex Mutex_;
  std::map<std::string, std::list<Idle>> Idle_;
  std::uint64_t Unasked_ = 0;
};

} // namespace laburnum::shape_soak
