#pragma once

#include <LibBackend/BackendClient.h>
#include <LibCallers/StreamSource.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>

namespace laburnum {

/// Carries a stream from the thread that runs its request to the thread that
/// writes to the caller. Bounded: a caller that reads slowly holds its own
/// engine stream back, not this process's memory.
class TokenPipe : public StreamSource {
public:
  explicit TokenPipe(std::size_t MostItems) : MostItems_(MostItems) {}

  /// Waits while the pipe is full. No: the reader has gone.
  Continue push(StreamItem Item);
  /// Waits for the next item.
  StreamItem pop() override;
  void release(Delivery Outcome) override;

private:
  std::size_t const MostItems_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::deque<StreamItem> Items_;
  bool Abandoned_ = false;
};

} // namespace laburnum
