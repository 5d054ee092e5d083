#pragma once

#include <LibLog/LogLine.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace laburnum {

/// A buffered log of structured lines that writes to a file descriptor. Any
/// thread may write, and no writer ever waits for the reader: lines are dropped
/// and counted when the buffer is full, and the count is logged when there is
/// space again.
class EventLog {
public:
  static constexpr std::size_t BufferBytes = std::size_t{256} << 10;

  /// Every line starts with the time and the instance's name. The descriptor is
  /// made non-blocking.
  EventLog(int Descriptor, std::string Instance);

  void write(LogLine const &Line);
  /// Writes as much of the buffer as the descriptor accepts. Called a few times
  /// a second by one thread.
  void flush();
  /// Returns the number of lines dropped so far.
  std::uint64_t dropped() const;

private:
  void append(std::string const &Text);

  int Descriptor_;
  std::string Instance_;
  mutable std::mutex Mutex_;
  std::string Buffer_;
  std::uint64_t Dropped_ = 0;
  std::uint64_t Reported_ = 0;
};

} // namespace laburnum
