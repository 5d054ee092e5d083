#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace laburnum::stream_soak {

struct StreamEvent {
  std::uint64_t Id_ = 0;
  std::string Data_;
};

/// What a client received of one answer, in the order of its bytes.
struct StreamAnswer {
  int Status_ = 0; ///< 0: none was received.
  std::vector<StreamEvent> Events_;
  bool IsComplete_ = false;
};

/// Decodes a chunked answer of which the end may be missing.
StreamAnswer decodeAnswer(std::string const &Received);

} // namespace laburnum::stream_soak
