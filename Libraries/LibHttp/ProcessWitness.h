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

  auto operator<=>(WitnessAnswer const &) const = default;
};

/// A connection to a server beside the one on which a request is answered. The
/// kernel closes the connections of a killed process in order, as the process
/// itself does after a whole answer. A process that answers on the witness
/// after that has not been killed.
class ProcessWitness : public ConnectionObserver,
                       public std::enable_shared_from_this<ProcessWitness> {
public:
  using Done = std::function<void(WitnessAnswer const &)>;

  /// When the witness's connection begins.
  enum class Start {
    Now,
    IdleOrNow, ///< An idle connection of the pool has begun before.
  };

  /// The pool has to have a ProcessIdentifier.
  static std::shared_ptr<ProcessWitness>
  create(std::shared_ptr<OutboundPool> Pool, Start Start);

  /// Asks the process who it is. Done is called once, and not before ask()
  /// returns.
  void ask(Duration Timeout, Done Done);
  /// Closes the connection. Done is not called any more.
  void cancel();
  /// Whether the connection had been open before the witness was created.
  bool isReused() const { return IsReused_; }

  void onBytes(std::string_view Bytes) override;
  void onEnd(ConnectionEnd End) override;

private:
  explicit ProcessWitness(std::shared_ptr<OutboundPool> Pool);
  void start(Start Start);
  void connect();
  void sendQuestion();
  void finish(WitnessAnswer const &Answer);
  void fail();

  std::shared_ptr<OutboundPool> Pool_;
  asio::ip::tcp::socket Connecting_;
  asio::steady_timer Timer_;
  std::shared_ptr<Connection> Connection_;
  AnswerReader Reader_;
  std::string Body_;
  Done Done_;
  bool IsReused_ = false;
  bool HasFailed_ = false;
};

} // namespace laburnum
