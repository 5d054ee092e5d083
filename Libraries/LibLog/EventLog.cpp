#include <LibLog/EventLog.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace laburnum {

namespace {

/// Returns the Unix time in seconds by this machine's wall clock.
std::string timeText() {
  auto const Now = std::chrono::duration<double>(
      std::chrono::system_clock::now().time_since_epoch());
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.3f", Now.count());
  return Text.data();
}

} // namespace

EventLog::EventLog(int Descriptor, std::string Instance)
    : Descriptor_(Descriptor), Instance_(std::move(Instance)) {
  ::fcntl(Descriptor_, F_SETFL, ::fcntl(Descriptor_, F_GETFL, 0) | O_NONBLOCK);
}

void EventLog::append(std::string const &Text) {
  Buffer_ +=
      "time=" + timeText() + " instance=" + Instance_ + ' ' + Text + '\n';
}

void EventLog::write(LogLine const &Line) {
  std::lock_guard const Lock(Mutex_);
  if (Buffer_.size() + Line.text().size() > BufferBytes) {
    ++Dropped_;
    return;
  }
  if (Dropped_ > Reported_) {
    append(LogLine("log_dropped").add("lines", Dropped_ - Reported_).text());
    Reported_ = Dropped_;
  }
  append(Line.text());
}

void EventLog::flush() {
  std::lock_guard const Lock(Mutex_);
  while (!Buffer_.empty()) {
    auto const Written = ::write(Descriptor_, Buffer_.data(), Buffer_.size());
    if (Written <= 0)
      return;
    Buffer_.erase(0, static_cast<std::size_t>(Written));
  }
  Buffer_.shrink_to_fit();
}

std::uint64_t EventLog::dropped() const {
  std::lock_guard const Lock(Mutex_);
  return Dropped_;
}

} // namespace laburnum
