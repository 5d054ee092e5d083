#pragma once

#include <LibCallers/StreamLog.h>

#include <functional>
#include <memory>

namespace laburnum {

/// A caller's connection to a stream. Reports its end exactly once.
class StreamReader : public StreamSource {
public:
  /// Whether the caller received the stream to its end.
  enum class Outcome { Partial, Complete };
  using OnDisconnect = std::function<void(Outcome)>;

  /// Admission is held until the connection ends.
  StreamReader(std::shared_ptr<StreamLog> Log, ReaderNumber Number,
               std::uint32_t From, std::shared_ptr<void> Admission,
               OnDisconnect Callback);
  StreamReader(StreamReader const &) = delete;
  StreamReader &operator=(StreamReader const &) = delete;
  ~StreamReader() override;

  StreamItem pop() override;
  void release(Delivery How) override;

private:
  std::shared_ptr<StreamLog> Log_;
  ReaderNumber const Number_;
  std::uint32_t Next_;
  std::shared_ptr<void> Admission_;
  OnDisconnect OnDisconnect_; ///< Empty after it was called.
  bool IsComplete_ = false;
};

} // namespace laburnum
