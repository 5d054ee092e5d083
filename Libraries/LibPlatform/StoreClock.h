#pragma once

#include <LibCore/Time.h>

namespace laburnum {

/// The clock and sleep function of the object store's decorators, which tests
/// replace by a simulated one. Thread-safe.
class StoreClock {
public:
  virtual ~StoreClock() = default;

  virtual TimePoint now() = 0;

  /// Blocks the calling thread for Length.
  virtual void pause(Duration Length) = 0;
};

} // namespace laburnum
