#include <LibHttp/HttpServerConnection.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

/// Pause after a failed accept, for example when file descriptors ran out.
constexpr std::chrono::milliseconds AcceptRetryPause{50};

} // namespace

HttpListener::HttpListener(asio::io_context &Context, HttpService &Service,
                           std::shared_ptr<IntakeBudget> Budget)
    : Acceptor_(Context), RetryTimer_(Context), Service_(Service),
      Budget_(Budget ? std::move(Budget) : std::make_shared<IntakeBudget>()) {}

Result<std::shared_ptr<HttpListener>>
HttpListener::create(asio::io_context &Context, Endpoint const &Address,
                     HttpService &Service,
                     std::shared_ptr<IntakeBudget> Budget) {
  auto const Resolved = resolve(Address);
  if (isError(Resolved))
    return errorOf(Resolved);
  std::shared_ptr<HttpListener> Listener(
      new HttpListener(Context, Service, std::move(Budget)));
  auto const &Local = valueOf(Resolved);
  asio::error_code Failure;
  auto &Acceptor = Listener->Acceptor_;
  Acceptor.open(Local.protocol(), Failure);
  if (!Failure)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Failure);
  if (!Failure)
    Acceptor.bind(Local, Failure);
  if (!Failure)
    Acceptor.listen(asio::socket_base::max_listen_connections, Failure);
  if (Failure)
    return Error{Failure == asio::error::access_denied
                     ? ErrorKind::PermissionDenied
                     : ErrorKind::Unavailable,
                 "cannot listen on " + Address.Host_ + ":" +
                     std::to_string(Address.Port_) + ": " + Failure.message(),
                 "free the port or change the settings"};
  Listener->accept();
  return Listener;
}

Endpoint HttpListener::localEndpoint() const {
  asio::error_code Ignored;
  auto const Local = Acceptor_.local_endpoint(Ignored);
  return {Local.address().to_string(), Local.port()};
}

void HttpListener::accept() {
  Acceptor_.async_accept(
      [Self = shared_from_this()](asio::error_code Failure,
                                  asio::ip::tcp::socket Socket) {
        if (!Failure)
          Self->open(std::move(Socket));
        if (!Self->Acceptor_.is_open())
          return;
        if (Failure)
          return Self->retryLater();
        Self->accept();
      });
}

void HttpListener::open(asio::ip::tcp::socket Socket) {
  if (!makeRoom())
    return;
  auto const Opened = std::make_shared<HttpServerConnection>(
      shared_from_this(),
      Connection::create(std::move(Socket), Budget_->unwritten()));
  Connections_.insert(Opened);
  Opened->start();
  if (IsDraining_)
    Opened->drain();
}

bool HttpListener::makeRoom() {
  forgetReleased();
  if (Connections_.size() + Closing_.size() < Budget_->limits().Connections_)
    return true;
  Service_.onGivenUp();
  if (!Closing_.empty()) {
    if (auto const Open = Closing_.front().lock())
      Open->abort();
    return true;
  }
  std::shared_ptr<HttpServerConnection> Oldest;
  for (auto const &Accepted : Connections_)
    if ((!Oldest || Accepted->waitingSince() < Oldest->waitingSince()) &&
        Accepted->isWaitingForClient())
      Oldest = Accepted;
  if (!Oldest)
    return false;
  Oldest->abortConnection();
  return true;
}

void HttpListener::retryLater() {
  RetryTimer_.expires_after(AcceptRetryPause);
  RetryTimer_.async_wait([Self = shared_from_this()](asio::error_code Failure) {
    if (!Failure && Self->Acceptor_.is_open())
      Self->accept();
  });
}

void HttpListener::stopAccepting() {
  asio::error_code Ignored;
  RetryTimer_.cancel();
  // Their clients may have sent requests, which a reset would lose.
  Acceptor_.non_blocking(true, Ignored);
  while (Acceptor_.is_open()) {
    asio::error_code Failure;
    auto Socket = Acceptor_.accept(Failure);
    if (Failure)
      break;
    open(std::move(Socket));
  }
  Acceptor_.close(Ignored);
}

void HttpListener::drainConnections() {
  IsDraining_ = true;
  auto const Open = Connections_;
  for (auto const &Accepted : Open)
    Accepted->drain();
}

void HttpListener::addClosing(std::shared_ptr<Connection> const &Closed) {
  forgetReleased();
  if (!Closed->isReleased())
    Closing_.push_back(Closed);
}

void HttpListener::forgetReleased() {
  std::erase_if(Closing_, [](auto const &Entry) {
    auto const Open = Entry.lock();
    return !Open || Open->isReleased();
  });
}

std::vector<std::shared_ptr<Connection>> HttpListener::unwritten() const {
  std::vector<std::shared_ptr<Connection>> Found;
  for (auto const &Accepted : Connections_)
    if (Accepted->unwrittenBytes() > 0)
      Found.push_back(Accepted->connection());
  for (auto const &Entry : Closing_)
    if (auto const Open = Entry.lock(); Open && Open->unwrittenBytes() > 0)
      Found.push_back(Open);
  return Found;
}

std::size_t HttpListener::limitUnwritten(std::size_t MaxBytes) {
  auto const &Total = *Budget_->unwritten();
  if (Total.bytes() <= MaxBytes)
    return 0;
  auto Open = unwritten();
  std::sort(Open.begin(), Open.end(), [](auto const &Left, auto const &Right) {
    return Left->writeBegunAt() < Right->writeBegunAt();
  });
  std::size_t Aborted = 0;
  for (auto const &One : Open) {
    if (Total.bytes() <= MaxBytes)
      break;
    One->abortForMemory();
    ++Aborted;
  }
  return Aborted;
}

std::size_t HttpListener::busyConnections() const {
  auto const Busy =
      std::count_if(Connections_.begin(), Connections_.end(),
                    [](auto const &Accepted) { return Accepted->isBusy(); });
  auto const Closing =
      std::count_if(Closing_.begin(), Closing_.end(), [](auto const &Entry) {
        auto const Open = Entry.lock();
        return Open && Open->unwrittenBytes() > 0;
      });
  return static_cast<std::size_t>(Busy + Closing);
}

} // namespace laburnum
