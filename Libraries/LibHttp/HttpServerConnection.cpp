#include <LibHttp/HttpServerConnection.h>

#include <utility>

namespace laburnum {

namespace {

/// The exchange passed to the service. It may outlive the connection.
class ConnectionExchange : public Exchange {
public:
  ConnectionExchange(std::shared_ptr<HttpServerConnection> Owner,
                     std::uint64_t Number)
      : Owner_(std::move(Owner)), Number_(Number) {}

  void observe(std::shared_ptr<ClientObserver> Observer) override {
    Owner_->observe(Number_, std::move(Observer));
  }
  void answer(AnswerHead const &Head, std::string_view Body) override {
    Owner_->answer(Number_, Head, Body);
  }
  void beginStream(AnswerHead const &Head) override {
    Owner_->beginStream(Number_, Head);
  }
  void send(std::string_view Bytes) override { Owner_->send(Number_, Bytes); }
  void finishStream() override { Owner_->finishStream(Number_); }
  void abort() override { Owner_->abort(Number_); }
  void holdWrites() override { Owner_->holdWrites(Number_); }
  void resumeWrites() override { Owner_->resumeWrites(Number_); }
  std::size_t unwrittenBytes() const override {
    return Owner_->unwrittenBytes();
  }

private:
  std::shared_ptr<HttpServerConnection> Owner_;
  std::uint64_t Number_;
};

/// Copies of a request's body while it is served: the request's, the call's to
/// the server and the bytes that are written.
constexpr std::size_t CopiesOfServed = 3;
/// Seconds until a client may come again whose request found no room.
constexpr char const *RetryAfterGivenUp = "1";

std::int32_t statusOf(MessageFault Fault) {
  switch (Fault) {
  case MessageFault::HeadTooLarge:
    return 431;
  case MessageFault::BodyTooLarge:
    return 413;
  default:
    return 400;
  }
}

} // namespace

HttpServerConnection::HttpServerConnection(
    std::shared_ptr<HttpListener> Listener, std::shared_ptr<Connection> Opened)
    : Listener_(std::move(Listener)), Connection_(std::move(Opened)),
      Timer_(Listener_->Acceptor_.get_executor()),
      Reader_(Listener_->Service_.bounds().Message_),
      WaitingSince_(readBootClock()) {}

HttpServerConnection::~HttpServerConnection() {
  Listener_->Budget_->remove(*this);
}

void HttpServerConnection::start() {
  armIdleTimer();
  Connection_->start(shared_from_this());
}

void HttpServerConnection::drain() {
  ClosesAfterAnswer_ = true;
  if (State_ == State::Idle)
    endIdle(IdleClose::Drain);
}

void HttpServerConnection::onBytes(std::string_view Bytes) {
  if (State_ == State::Idle && unwrittenBytes() > 0)
    return endWithUnreadAnswer();
  if (State_ == State::Idle || State_ == State::Reading)
    return feed(Bytes);
  ClosesAfterAnswer_ = true;
}

void HttpServerConnection::feed(std::string_view Bytes) {
  if (State_ == State::Idle) {
    State_ = State::Reading;
    ++Number_;
    WaitingSince_ = BegunAt_ = readBootClock();
    armTimer(Listener_->Service_.bounds().RequestTimeout_);
  }
  bool const HadHead = Reader_.isHeadDone();
  Reader_.feed(Bytes);
  if (Reader_.fault() != MessageFault::None)
    return reject(Reader_.fault());
  if (Reader_.isDone())
    return dispatchRequest();
  if (!chargeReading())
    return;
  if (Reader_.isHeadDone() && !HadHead) {
    armTimer(Listener_->Service_.bounds().RequestTimeout_);
    if (Reader_.head().Fields_.hasToken("Expect", "100-continue"))
      Connection_->write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void HttpServerConnection::dispatchRequest() {
  Timer_.cancel();
  State_ = State::Answering;
  if (!Reader_.keepsAlive() || !Reader_.takeRest().empty() ||
      Listener_->IsDraining_)
    ClosesAfterAnswer_ = true;
  ReceivedRequest Request{Reader_.takeHead(), Reader_.takeBody(), BegunAt_};
  if (!Listener_->Budget_->set(*this, CopiesOfServed * Request.Body_.capacity(),
                               IntakeBudget::Stage::Serving, BegunAt_))
    return giveUpRequest();
  Reader_ = RequestReader(Listener_->Service_.bounds().Message_);
  Listener_->Service_.onRequest(
      std::make_shared<ConnectionExchange>(shared_from_this(), Number_),
      std::move(Request));
}

void HttpServerConnection::reject(MessageFault Fault) {
  Listener_->Service_.onRejected(Fault);
  sendError(statusOf(Fault));
}

bool HttpServerConnection::chargeReading() {
  return Listener_->Budget_->set(*this, Reader_.heldBytes(),
                                 IntakeBudget::Stage::Reading, BegunAt_);
}

void HttpServerConnection::giveUpRequest() {
  constexpr std::int32_t ServiceUnavailable = 503;
  Listener_->Service_.onGivenUp();
  Reader_ = RequestReader(Listener_->Service_.bounds().Message_);
  HeaderFields Fields;
  Fields.add("Retry-After", RetryAfterGivenUp);
  sendError(ServiceUnavailable, std::move(Fields));
}

void HttpServerConnection::endWithUnreadAnswer() {
  Listener_->Service_.onGivenUp();
  endConnection();
}

void HttpServerConnection::abortConnection() {
  Connection_->abort();
  onEnd(ConnectionEnd::Broken);
}

void HttpServerConnection::sendError(std::int32_t Status, HeaderFields Fields) {
  Connection_->write(serialize(AnswerHead{Status, std::move(Fields)}, 0,
                               ConnectionReuse::Close));
  endConnection();
}

void HttpServerConnection::armTimer(Duration After) {
  Timer_.expires_after(After);
  Timer_.async_wait([Self = weak_from_this()](asio::error_code Failure) {
    auto const Alive = Self.lock();
    if (!Failure && Alive)
      Alive->onTimeout();
  });
}

TimePoint HttpServerConnection::idleUntil() const {
  auto const Bounds = Listener_->Service_.bounds();
  return WaitingSince_ + Bounds.IdleTimeout_ + Bounds.AnswerTransit_;
}

void HttpServerConnection::armIdleTimer() {
  armTimer(idleUntil() - readBootClock());
}

void HttpServerConnection::onTimeout() {
  constexpr std::int32_t RequestTimeout = 408;
  // The timeout may have been raised since the timer was armed.
  if (State_ == State::Idle && !ClosesAfterAnswer_ &&
      readBootClock() < idleUntil())
    armIdleTimer();
  else if (State_ == State::Idle && Connection_->hasUntakenBytes())
    armTimer(Listener_->Service_.bounds().IdleTimeout_);
  else if (State_ == State::Idle)
    endIdle(IdleClose::IdleTimeout);
  else if (State_ == State::Reading)
    sendError(RequestTimeout);
}

bool HttpServerConnection::isCurrent(std::uint64_t Number) const {
  return Number == Number_ &&
         (State_ == State::Answering || State_ == State::Streaming);
}

ConnectionReuse HttpServerConnection::reuse() const {
  return ClosesAfterAnswer_ || Listener_->IsDraining_
             ? ConnectionReuse::Close
             : ConnectionReuse::KeepOpen;
}

void HttpServerConnection::observe(std::uint64_t Number,
                                   std::shared_ptr<ClientObserver> Observer) {
  if (isCurrent(Number))
    Observer_ = std::move(Observer);
  else
    Observer->onClientLeft();
}

void HttpServerConnection::answer(std::uint64_t Number, AnswerHead const &Head,
                                  std::string_view Body) {
  if (!isCurrent(Number))
    return;
  auto const Reuse = reuse();
  Announced_ = Reuse;
  ClosesAfterAnswer_ = Reuse == ConnectionReuse::Close;
  Connection_->write(serialize(Head, Body.size(), Reuse).append(Body));
  finishAnswer();
}

void HttpServerConnection::beginStream(std::uint64_t Number,
                                       AnswerHead const &Head) {
  if (!isCurrent(Number))
    return;
  State_ = State::Streaming;
  auto const Reuse = reuse();
  Announced_ = Reuse;
  ClosesAfterAnswer_ = Reuse == ConnectionReuse::Close;
  Connection_->write(serializeChunked(Head, Reuse));
}

void HttpServerConnection::send(std::uint64_t Number, std::string_view Bytes) {
  if (isCurrent(Number) && !Bytes.empty())
    Connection_->write(serializeChunk(Bytes));
}

void HttpServerConnection::finishStream(std::uint64_t Number) {
  if (!isCurrent(Number))
    return;
  Connection_->write(std::string(LastChunk));
  finishAnswer();
}

void HttpServerConnection::abort(std::uint64_t Number) {
  if (!isCurrent(Number))
    return;
  Connection_->resumeWrites();
  Connection_->abort();
  endConnection();
}

void HttpServerConnection::holdWrites(std::uint64_t Number) {
  if (isCurrent(Number))
    Connection_->holdWrites();
}

void HttpServerConnection::resumeWrites(std::uint64_t Number) {
  if (Number == Number_)
    Connection_->resumeWrites();
}

void HttpServerConnection::finishAnswer() {
  Observer_.reset();
  State_ = State::Idle;
  WaitingSince_ = readBootClock();
  Listener_->Budget_->remove(*this);
  if (!ClosesAfterAnswer_)
    return armIdleTimer();
  // A client that was told to keep the connection may send its next request.
  if (Announced_ == ConnectionReuse::KeepOpen)
    return endIdle(IdleClose::Drain);
  endConnection();
}

void HttpServerConnection::endIdle(IdleClose Why) {
  if (Connection_->unreadBytes() > 0)
    return armTimer(Listener_->Service_.bounds().RequestTimeout_);
  auto const Now = readBootClock();
  Connection_->closeIdle(
      [Listener = Listener_, Why, Idle = Now - WaitingSince_, Now] {
        Listener->Service_.onCrossedClose({Why, Idle, readBootClock() - Now});
      });
  endConnection();
}

void HttpServerConnection::endConnection() {
  State_ = State::Ended;
  Listener_->Budget_->remove(*this);
  Timer_.cancel();
  Observer_.reset();
  Connection_->close();
  Listener_->addClosing(Connection_);
  Listener_->Connections_.erase(shared_from_this());
}

void HttpServerConnection::onEnd(ConnectionEnd /*End*/) {
  auto const Observer = std::move(Observer_);
  endConnection();
  if (Observer)
    Observer->onClientLeft();
}

} // namespace laburnum
