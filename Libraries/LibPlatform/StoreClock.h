#pragma once

#include <LibCore/Time.h>

namespace laburnum {

/// The time and the pauses of the object store's decorators. Tests give one
/// that never really pauses. Several threads may call at once.
class StoreClock {
public:
  virtual ~StoreClock() = default;

  virtual TimePoint now() = 0;

  /// Blocks the calling thread for Length.
  virtual void pause(Duration Length) = 0;
};

} // namespace laburnum
