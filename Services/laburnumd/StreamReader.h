#pragma once

#include <LibCallers/StreamLog.h>

#include <functional>
#include <memory>

namespace laburnum {

/// One caller's connection to a stream. Says once how it ended.
class StreamReader : public StreamSource {
public:
  /// Whether the caller was given the stream to its end.
  enum class Outcome { Part, Whole };
  using OnLeft = std::function<void(Outcome)>;

  /// Admission is kept until the connection has ended.
  StreamReader(std::shared_ptr<StreamLog> Log, ReaderNumber Number,
               std::uint32_t From, std::shared_ptr<void> Admission,
               OnLeft Left);
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
  OnLeft Left_; ///< Empty once it was called.
  bool IsWhole_ = false;
};

} // namespace laburnum
