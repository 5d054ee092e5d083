#pragma once

#include <cstddef>
#include <httplib.h>
#include <string>

namespace laburnum {

/// What crossed the connection in one exchange.
struct ConnectionTrace {
  std::size_t BytesWritten_ = 0;
  bool HasStatusLine_ = false;
  std::string Tail_; ///< The last bytes that were read.

  /// Whether the answer ended with the empty line after the last chunk.
  /// httplib also takes an answer as whole that is cut within a chunk's end.
  bool endsWithEmptyLine() const;

  auto operator<=>(ConnectionTrace const &) const = default;
};

/// An HTTP client of httplib that tells what its last exchange wrote and read.
class TracedClient final : public httplib::ClientImpl {
public:
  TracedClient(std::string const &Host, int Port)
      : httplib::ClientImpl(Host, Port) {}

  void clearTrace() { Trace_ = {}; }
  ConnectionTrace const &trace() const { return Trace_; }

private:
  bool process_socket(
      Socket const &Connection,
      std::function<bool(httplib::Stream &Stream)> Callback) override;

  ConnectionTrace Trace_;
};

} // namespace laburnum
