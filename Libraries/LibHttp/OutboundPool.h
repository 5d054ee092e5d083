#pragma once

#include <LibHttp/OutboundCall.h>

#include <asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <memory>

namespace laburnum {

/// Connections opened and used again, since the pool's start.
struct PoolCounts {
  std::uint64_t Opened_ = 0;
  std::uint64_t Reused_ = 0;

  auto operator<=>(PoolCounts const &) const = default;
};

/// The connections to one server. A connection is kept only while nothing is
/// owed on it, and no longer than the server says that it keeps it. Used on
/// the io_context's one thread.
class OutboundPool : public std::enable_shared_from_this<OutboundPool> {
public:
  OutboundPool(asio::io_context &Context, Endpoint Address)
      : Context_(Context), Address_(std::move(Address)) {}

  std::shared_ptr<OutboundCall> start(OutboundRequest Request,
                                      std::shared_ptr<AnswerObserver> Observer);

  Endpoint const &address() const { return Address_; }
  PoolCounts counts() const { return Counts_; }
  /// Closes the idle connections. Calls under way go on.
  void closeIdle();

private:
  friend class OutboundCall;

  class IdleConnection;

  /// Takes a connection back whose answer has ended cleanly.
  void keep(std::shared_ptr<Connection> Idle, AnswerHead const &Last);
  std::shared_ptr<Connection> takeIdle();

  asio::io_context &Context_;
  Endpoint Address_;
  std::deque<std::shared_ptr<IdleConnection>> Idle_;
  PoolCounts Counts_;
};

} // namespace laburnum
