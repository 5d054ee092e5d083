#pragma once

#include <LibModel/Endpoint.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

namespace laburnum::entry_process {

/// Stand-in for a backend server whose answers are scripted to the byte. Used
/// on the thread of its io_context.
class ScriptedServer {
public:
  class Peer;
  /// Called with the identifier of each request and its number at this server,
  /// beginning with 1.
  using Script = std::function<void(Peer &, std::string const &AttemptId,
                                    std::size_t Number)>;

  /// Listens on the port, or on any free one if that is 0.
  ScriptedServer(asio::io_context &Context, Script Script,
                 std::uint16_t Port = 0);
  ~ScriptedServer() { stopListening(); }
  ScriptedServer(ScriptedServer const &) = delete;
  ScriptedServer &operator=(ScriptedServer const &) = delete;

  /// Sets what the server tells of itself when it is asked (JSON). Without it,
  /// and if it is empty, the server doesn't know the question.
  void setReport(std::string Report) { Shared_->Report_ = std::move(Report); }
  /// Closes connections on which nothing was asked for so long after they were
  /// opened or asked last; 0: never. Answers may last longer.
  void setIdleTime(std::chrono::milliseconds Time) {
    Shared_->IdleTime_ = Time;
  }
  std::size_t requests() const { return Shared_->Requests_; }
  /// Accepts no more connections, as after a crash.
  void stopListening();
  /// Resets all connections, as the loss of the server's machine may do.
  void resetConnections();
  /// Closes all connections in order, as the kernel does for a process that is
  /// killed.
  void closeConnections();
  Endpoint endpoint() const;

private:
  /// Outlives the server while connections are open.
  struct Shared {
    Script Script_;
    std::string Report_;
    std::size_t Requests_ = 0;
    std::chrono::milliseconds IdleTime_{0};
    bool IsListening_ = true;
    std::list<std::weak_ptr<Peer>> Peers_;
  };

  void accept();

  asio::ip::tcp::acceptor Acceptor_;
  std::shared_ptr<Shared> Shared_;
};

/// A connection to a scripted server.
class ScriptedServer::Peer : public std::enable_shared_from_this<Peer> {
public:
  Peer(asio::ip::tcp::socket Socket, std::shared_ptr<Shared> Shared)
      : Socket_(std::move(Socket)), IdleTimer_(Socket_.get_executor()),
        Shared_(std::move(Shared)) {
    // On a kept connection an event would wait for the acknowledgement of the
    // head before it, up to 40 ms.
    asio::error_code Ignored;
    Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
  }

  void read();
  /// Closes the connection unless a request follows in the idle time.
  void limitIdleTime();
  /// Returns the path of the request that was read last.
  std::string path() const;
  /// Returns a header field of the request that was read last, or nothing.
  std::string field(std::string const &Name) const;
  void write(std::string const &Bytes);
  /// Writes without blocking the thread; Done is called unless it fails.
  void writeLater(std::string const &Bytes, std::function<void()> Done);
  /// Ends the connection in order, without a reset.
  void close();
  void reset();

private:
  /// Answers the request once its body has arrived, which is dropped.
  void readBody();
  void answer();
  /// Answers a question for the server's report. Returns whether it was one.
  bool answerReport();

  asio::ip::tcp::socket Socket_;
  asio::steady_timer IdleTimer_;
  std::shared_ptr<Shared> Shared_;
  std::string Received_;
  std::string Head_; ///< Of the request that was read last.
};

} // namespace laburnum::entry_process
