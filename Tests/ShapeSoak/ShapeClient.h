#pragma once

#include <EntryProcess/EntryProcess.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <string>

namespace laburnum::shape_soak {

/// A client's connection to an instance.
class ShapeClient {
public:
  /// Throws std::system_error if there is no connection within a second.
  explicit ShapeClient(std::string const &Address);
  /// Resets the connection.
  ~ShapeClient();
  ShapeClient(ShapeClient const &) = delete;
  ShapeClient &operator=(ShapeClient const &) = delete;

  enum class Keeps { No, Yes };

  /// Sends a POST request. What was received before is dropped.
  void send(std::string const &Path, entry_process::Fields const &Fields,
            std::size_t BodyBytes, Keeps Keeping);
  /// Waits for bytes or the end of the connection. Returns false if neither
  /// came in this time.
  bool readWithin(std::chrono::milliseconds Time);
  /// What came since the last request.
  std::string const &received() const { return Received_; }
  /// Whether the connection has ended, and whether that was in order.
  bool hasEnded() const { return HasEnded_; }
  bool isClosed() const { return IsClosed_; }

private:
  asio::io_context Context_{1};
  asio::ip::tcp::socket Socket_{Context_};
  std::string Received_;
  bool HasEnded_ = false;
  bool IsClosed_ = false;
};

} // namespace laburnum::shape_soak
