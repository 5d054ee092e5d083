#include <LibHttp/OutboundPool.h>

#include <algorithm>
#include <charconv>

namespace laburnum {

namespace {

/// An idle connection is closed this much before the server's timeout, so that
/// a request does not cross the server's close on the network.
constexpr std::chrono::milliseconds ReuseMargin{300};
/// The limit for a server without a Keep-Alive timeout: the field has whole
/// seconds, so the server's timeout is below one.
constexpr std::chrono::milliseconds UnstatedReuseLimit{300};

/// The server's Keep-Alive timeout (RFC 2068, section 19.7.1.1), less the
/// margin.
Duration reuseLimit(HeaderFields const &Fields) {
  constexpr std::string_view Name = "timeout=";
  auto const Value = Fields.valueOr("Keep-Alive");
  auto const At = Value.find(Name);
  std::int64_t Seconds = 0;
  if (At == std::string_view::npos)
    return UnstatedReuseLimit;
  auto const Digits = Value.substr(At + Name.size());
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds);
  return std::chrono::seconds(Seconds) - ReuseMargin;
}

} // namespace

/// An idle connection between two calls. Any input on it closes it.
class OutboundPool::IdleConnection
    : public ConnectionObserver,
      public std::enable_shared_from_this<IdleConnection> {
public:
  IdleConnection(std::shared_ptr<Connection> Pooled,
                 std::optional<std::string> Process, asio::io_context &Context)
      : Connection_(std::move(Pooled)), Process_(std::move(Process)),
        Timer_(Context) {}

  void expireAfter(Duration Limit) {
    Timer_.expires_after(Limit);
    Timer_.async_wait([Self = weak_from_this()](asio::error_code Failure) {
      auto const Alive = Self.lock();
      if (!Failure && Alive)
        Alive->drop();
    });
  }
  std::shared_ptr<Connection> take() {
    Timer_.cancel();
    return std::move(Connection_);
  }
  bool isUsable() const { return Connection_ && Connection_->isOpen(); }
  /// The process at the other end, if it is known.
  std::optional<std::string> const &process() const { return Process_; }
  void drop() {
    Timer_.cancel();
    if (auto const Pooled = std::move(Connection_))
      Pooled->close();
  }
  void onBytes(std::string_view /*Bytes*/) override { drop(); }
  void onEnd(ConnectionEnd /*End*/) override { Connection_.reset(); }

private:
  std::shared_ptr<Connection> Connection_;
  std::optional<std::string> const Process_;
  asio::steady_timer Timer_;
};

std::shared_ptr<OutboundCall>
OutboundPool::start(OutboundRequest Request,
                    std::shared_ptr<AnswerObserver> Observer) {
  auto const Pooled =
      takeIdle(Request.ProcessCheck_ == ProcessCheck::AtEndOfConnection
                   ? std::nullopt
                   : Request.Process_);
  auto const Call = std::make_shared<OutboundCall>(
      shared_from_this(), std::move(Request), std::move(Observer));
  if (Pooled) {
    ++Counts_.Reused_;
    Call->IsReused_ = true;
    Call->Process_ = Pooled->process();
    Call->useConnection(Pooled->take());
  } else {
    Call->connect();
  }
  return Call;
}

void OutboundPool::keep(std::shared_ptr<Connection> Idle,
                        AnswerHead const &Last,
                        std::optional<std::string> Process) {
  auto const Limit = reuseLimit(Last.Fields_);
  if (Limit <= Duration(0))
    return Idle->close();
  auto const Pooled =
      std::make_shared<IdleConnection>(Idle, std::move(Process), Context_);
  Idle->setObserver(Pooled);
  Pooled->expireAfter(Limit);
  std::erase_if(Idle_, [](auto const &Entry) { return !Entry->isUsable(); });
  Idle_.push_back(Pooled);
}

std::shared_ptr<OutboundPool::IdleConnection>
OutboundPool::takeIdle(std::optional<std::string> const &Process) {
  // The most recently used connection is the least likely to be closed.
  while (!Idle_.empty()) {
    auto const Last = Idle_.back();
    Idle_.pop_back();
    if (Process && Last->process() && Process != Last->process())
      Last->drop();
    else if (Last->isUsable())
      return Last;
  }
  return nullptr;
}

std::shared_ptr<Connection>
OutboundPool::takeIdleConnection(std::optional<std::string> const &Process) {
  auto const Idle = takeIdle(Process);
  return Idle ? Idle->take() : nullptr;
}

void OutboundPool::closeIdle() {
  for (auto const &Entry : Idle_)
    Entry->drop();
  Idle_.clear();
}

} // namespace laburnum
