#pragma once

#include <LibHttp/OutboundCall.h>
#include <LibHttp/ProcessIdentifier.h>

#include <asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace laburnum {

/// Number of connections opened and of reuses, since the pool was created.
struct PoolCounts {
  std::uint64_t Opened_ = 0;
  std::uint64_t Reused_ = 0;

  auto operator<=>(PoolCounts const &) const = default;
};

/// A pool of connections to one server. A connection is kept only when no
/// answer is outstanding on it, and no longer than the server's Keep-Alive
/// timeout allows. Used only on the thread of the io_context.
class OutboundPool : public std::enable_shared_from_this<OutboundPool> {
public:
  /// The identifier, if there is one, has to outlive the pool. With it, an
  /// answer that ends with its connection is complete only if the server's
  /// process then still runs.
  OutboundPool(asio::io_context &Context, Endpoint Address,
               ProcessIdentifier const *Identifier = nullptr)
      : Context_(Context), Address_(std::move(Address)),
        Identifier_(Identifier) {}

  std::shared_ptr<OutboundCall> start(OutboundRequest Request,
                                      std::shared_ptr<AnswerObserver> Observer);

  Endpoint const &address() const { return Address_; }
  PoolCounts counts() const { return Counts_; }
  /// Closes the idle connections. Calls in progress continue.
  void closeIdle();

private:
  friend class OutboundCall;
  friend class AnswerWitness;
  friend class ProcessWitness;

  class IdleConnection;

  /// Returns a connection to the pool after a complete answer.
  void keep(std::shared_ptr<Connection> Idle, AnswerHead const &Last,
            std::optional<std::string> Process);
  /// Returns a connection that is not known to lead to another process than
  /// that one, if one is given.
  std::shared_ptr<IdleConnection>
  takeIdle(std::optional<std::string> const &Process);
  /// The same without what is known of the connection; null if there is none.
  std::shared_ptr<Connection>
  takeIdleConnection(std::optional<std::string> const &Process);

  asio::io_context &Context_;
  Endpoint Address_;
  ProcessIdentifier const *const Identifier_;
  bool IsUnidentifiable_ = false; ///< The server does not identify itself.
  bool HasUnmarkedEnds_ = false;  ///< An answer has ended with its connection.
  /// How long the server leaves a connection open on which nothing is asked,
  /// once it has closed one.
  std::optional<Duration> IdleTime_;
  std::deque<std::shared_ptr<IdleConnection>> Idle_;
  PoolCounts Counts_;
};

} // namespace laburnum
