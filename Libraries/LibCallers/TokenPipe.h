#pragma once

#include <LibBackend/BackendClient.h>
#include <LibCallers/StreamSource.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>

namespace laburnum {

/// A bounded queue that carries a stream from the thread that runs its request
/// to the thread that writes to the caller. A slow caller thus causes
/// backpressure on its engine stream instead of using up memory.
class TokenPipe : public StreamSource {
public:
  explicit TokenPipe(std::size_t MaxItems) : MaxItems_(MaxItems) {}

  /// Waits while the pipe is full. Returns No if the reader has gone.
  Continue push(StreamItem Item);
  /// Waits for the next item.
  StreamItem pop() override;
  void release(Delivery Outcome) override;

private:
  std::size_t const MaxItems_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::deque<StreamItem> Items_;
  bool IsAbandoned_ = false;
};

} // namespace laburnum
