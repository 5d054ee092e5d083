#pragma once

#include <cstddef>
#include <httplib.h>
#include <string>

namespace laburnum {

/// What was written to and read from the connection in one exchange.
struct ConnectionTrace {
  std::size_t BytesWritten_ = 0;
  bool HasStatusLine_ = false;
  std::string Tail_; ///< The last bytes read.

  /// Whether the answer ended with the empty line after the last chunk. httplib
  /// also accepts an answer that is truncated within the end of a chunk.
  bool endsWithEmptyLine() const;

  auto operator<=>(ConnectionTrace const &) const = default;
};

/// A client of httplib that records what its last exchange wrote and read.
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
