#pragma once

#include <LibHttp/Connection.h>
#include <LibHttp/MessageReader.h>

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace laburnum {

class OutboundPool;

/// What a server's process has said when it was asked who it is.
struct WitnessAnswer {
  /// Whether it has said anything at all.
  bool HasAnswered_ = false;
  /// Nothing if it has not identified itself.
  std::optional<std::string> Process_;
  /// Whether the connection ended without an answer.
  bool IsConnectionLost_ = false;

  auto operator<=>(WitnessAnswer const &) const = default;
};

/// A connection to a server beside the one on which a request is answered. The
/// kernel closes the connections of a killed process in order, as the process
/// itself does after a whole answer. A process that answers on the witness
/// after that has not been killed.
class ProcessWitness : public ConnectionObserver,
                       public std::enable_shared_from_this<ProcessWitness> {
public:
  using Ready = std::function<void()>;
  using Lost = std::function<void(ConnectionEnd)>;
  using Done = std::function<void(WitnessAnswer const &)>;

  /// Opens a connection. The pool has to have a ProcessIdentifier.
  static std::shared_ptr<ProcessWitness>
  connect(std::shared_ptr<OutboundPool> Pool);
  /// Takes an idle connection that is not known to lead to another process, or
  /// opens one.
  static std::shared_ptr<ProcessWitness>
  connectTo(std::string const &Process, std::shared_ptr<OutboundPool> Pool);

  /// Calls back once the connection is open or has failed, and not before
  /// whenReady() returns.
  void whenReady(Ready Ready);
  /// Whether its connection is open.
  bool isOpen() const { return !HasFailed_ && Connection_; }
  /// Calls back if the connection fails or ends before the process is asked.
  void whenLost(Lost Lost) { Lost_ = std::move(Lost); }
  /// Asks the process who it is. Done is called once, and not before ask()
  /// returns.
  void ask(Duration Timeout, Done Done);
  /// Closes the connection. Nothing is called back any more.
  void cancel();

  void onBytes(std::string_view Bytes) override;
  void onEnd(ConnectionEnd End) override;

private:
  explicit ProcessWitness(std::shared_ptr<OutboundPool> Pool);
  void start();
  void sendQuestion();
  void finish(WitnessAnswer const &Answer);
  void fail(ConnectionEnd End = ConnectionEnd::Broken);

  std::shared_ptr<OutboundPool> Pool_;
  asio::ip::tcp::socket Connecting_;
  asio::steady_timer Timer_;
  std::shared_ptr<Connection> Connection_;
  AnswerReader Reader_;
  std::string Body_;
  Ready Ready_;
  Lost Lost_;
  Done Done_;
  bool HasFailed_ = false;
  bool IsConnectionLost_ = false;
};

} // namespace laburnum
