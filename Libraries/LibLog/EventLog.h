#pragma once

#include <LibLog/LogLine.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace laburnum {

/// Structured lines on their way to a descriptor. Any thread may write, and
/// none ever waits for the reader: lines that find the buffer full are dropped
/// and counted, and the count is logged when there is room again.
class EventLog {
public:
  static constexpr std::size_t BufferBytes = std::size_t{256} << 10;

  /// Instance begins every line. The descriptor is made non-blocking.
  EventLog(int Descriptor, std::string Instance);

  void write(LogLine const &Line);
  /// Hands the buffer over as far as the descriptor takes it. Called a few
  /// times a second, by one thread.
  void flush();
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
