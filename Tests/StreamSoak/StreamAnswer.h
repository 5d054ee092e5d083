#pragma once

#include <cstdint>
#include <string>
#include <utility>
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

/// Decodes a chunked answer of which the end may be missing. Events whose
/// identifier can't be read are skipped.
StreamAnswer decodeAnswer(std::string const &Received);

/// Decodes an answer in the framing that its head states. One without a length
/// is complete once its connection was closed in order.
StreamAnswer decodeFramedAnswer(std::string const &Received, bool IsClosed);

/// Returns the bytes of an answer's body so far, and whether they are all.
std::pair<std::string, bool> decodeBody(std::string const &Received,
                                        bool IsClosed);

} // namespace laburnum::stream_soak
