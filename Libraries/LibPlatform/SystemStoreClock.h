#pragma once

#include <LibPlatform/StoreClock.h>

namespace laburnum {

/// The monotonic clock of this machine.
class SystemStoreClock : public StoreClock {
public:
  TimePoint now() override;
  void pause(Duration Length) override;
};

} // namespace laburnum
