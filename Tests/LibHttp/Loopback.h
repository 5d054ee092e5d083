#pragma once

#include <LibHttp/Connection.h>

#include <asio/io_context.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <functional>
#include <string>

namespace laburnum::test {

/// Runs the context until Done returns true; false if it does not within ten
/// seconds.
inline bool runUntil(asio::io_context &Context,
                     std::function<bool()> const &Done) {
  auto const End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!Done() && std::chrono::steady_clock::now() < End) {
    Context.restart();
    Context.run_one_for(std::chrono::milliseconds(200));
  }
  return Done();
}

/// A raw TCP peer on the same context: writes bytes and collects the bytes
/// received until the other side closes.
class RawPeer {
public:
  RawPeer(asio::io_context &Context, Endpoint const &Server)
      : Socket_(Context) {
    Socket_.connect(std::get<asio::ip::tcp::endpoint>(resolve(Server)));
    read();
  }
  explicit RawPeer(asio::ip::tcp::socket Socket) : Socket_(std::move(Socket)) {
    read();
  }
  RawPeer(RawPeer const &) = delete;
  RawPeer &operator=(RawPeer const &) = delete;

  void write(std::string const &Bytes) {
    asio::error_code Ignored;
    asio::write(Socket_, asio::buffer(Bytes), Ignored);
  }
  void close() {
    asio::error_code Ignored;
    Socket_.close(Ignored);
  }
  /// Closes this side; bytes are still received.
  void closeSending() {
    Socket_.shutdown(asio::ip::tcp::socket::shutdown_send);
  }
  /// Leaves what comes unread.
  void stopReading() { Socket_.cancel(); }
  /// Whether the other side has reset the connection, also after it closed its
  /// side.
  bool wasReset() {
    int Failure = 0;
    socklen_t Size = sizeof(Failure);
    ::getsockopt(Socket_.native_handle(), SOL_SOCKET, SO_ERROR, &Failure,
                 &Size);
    WasReset_ |= Failure == ECONNRESET || Failure == EPIPE;
    return WasReset_;
  }
  void reset() {
    Socket_.set_option(asio::socket_base::linger(true, 0));
    close();
  }

  std::string Received_;
  bool IsClosed_ = false; ///< The other side closed or reset the connection.
  bool WasReset_ = false;

private:
  void read() {
    Socket_.async_read_some(
        asio::buffer(Buffer_),
        [this](asio::error_code Failure, std::size_t Count) {
          Received_.append(Buffer_.data(), Count);
          if (!Failure)
            return read();
          IsClosed_ = true;
          WasReset_ = Failure == asio::error::connection_reset;
        });
  }

  asio::ip::tcp::socket Socket_;
  std::array<char, 4096> Buffer_{};
};

} // namespace laburnum::test
