#include <LibPlatform/SystemStoreClock.h>

#include <thread>

namespace laburnum {

TimePoint SystemStoreClock::now() { return readClock(); }

void SystemStoreClock::pause(Duration Length) {
  std::this_thread::sleep_for(Length);
}

} // namespace laburnum
