#include <LibHttp/Connection.h>

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <array>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <utility>

namespace laburnum {

namespace {

/// One buffer per thread, shared by its connections, so that an idle connection
/// needs none.
constexpr std::size_t ReadBufferBytes = 32768;
/// How long the peer may take to close after this side has closed.
constexpr std::chrono::seconds CloseLinger{1};
/// What a write takes besides its bytes: its place in the queue, and its
/// memory's rounding.
constexpr std::size_t BytesOfWrite = 64;

std::array<char, ReadBufferBytes> &readBuffer() {
  thread_local std::array<char, ReadBufferBytes> Buffer;
  return Buffer;
}

void setOption(asio::ip::tcp::socket &Socket, int Name, int Value) {
  // On failure the kernel's default stays, which only detects failures later.
  ::setsockopt(Socket.native_handle(), IPPROTO_TCP, Name, &Value,
               sizeof(Value));
}

} // namespace

void configureSocket(asio::ip::tcp::socket &Socket) {
  asio::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  auto const Limit = std::chrono::duration_cast<std::chrono::milliseconds>(
      Connection::SilenceLimit);
  setOption(Socket, TCP_USER_TIMEOUT, static_cast<int>(Limit.count()));
  setOption(Socket, TCP_KEEPIDLE, 1);
  setOption(Socket, TCP_KEEPINTVL, 1);
  setOption(Socket, TCP_KEEPCNT, 2);
}

Result<asio::ip::tcp::endpoint> resolve(Endpoint const &Address) {
  asio::error_code Failure;
  auto const Host = asio::ip::make_address(Address.Host_, Failure);
  if (Failure)
    return Error{ErrorKind::InvalidArgument,
                 "'" + Address.Host_ + "' is not an IP address",
                 "give an address such as 127.0.0.1:8080"};
  return asio::ip::tcp::endpoint(Host, Address.Port_);
}

Connection::Connection(asio::ip::tcp::socket Socket,
                       std::shared_ptr<UnwrittenTotal> Total)
    : Socket_(std::move(Socket)), CloseTimer_(Socket_.get_executor()),
      Total_(std::move(Total)) {}

std::shared_ptr<Connection>
Connection::create(asio::ip::tcp::socket Socket,
                   std::shared_ptr<UnwrittenTotal> Total) {
  configureSocket(Socket);
  asio::error_code Ignored;
  Socket.non_blocking(true, Ignored);
  return std::shared_ptr<Connection>(
      new Connection(std::move(Socket), std::move(Total)));
}

void Connection::start(std::shared_ptr<ConnectionObserver> Observer) {
  Observer_ = std::move(Observer);
  waitForBytes();
}

void Connection::waitForBytes() {
  if (IsWaiting_ || State_ == State::Closed)
    return;
  IsWaiting_ = true;
  Socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [Self = shared_from_this()](asio::error_code Failure) {
                       Self->IsWaiting_ = false;
                       if (Failure || Self->State_ == State::Closed)
                         return;
                       Self->readAvailable();
                     });
}

std::size_t Connection::unreadBytes() const {
  asio::error_code Ignored;
  return Socket_.available(Ignored);
}

bool Connection::hasUntakenBytes() {
  // The end of the connection counts as a byte.
  int const EndBytes = State_ == State::Open ? 0 : 1;
  int Untaken = 0;
  return unwrittenBytes() > 0 ||
         (::ioctl(Socket_.native_handle(), SIOCOUTQ, &Untaken) == 0 &&
          Untaken > EndBytes);
}

void Connection::readAvailable() {
  if (LeavesUnread_ && State_ == State::Closing && unreadBytes() > 0) {
    // A reset would cut what the peer has yet to take. The end of the linger
    // time resets the connection, too.
    if (!hasUntakenBytes())
      abort();
    if (auto const OnCrossed = std::exchange(OnCrossed_, nullptr))
      OnCrossed();
    return;
  }
  auto &Buffer = readBuffer();
  asio::error_code Failure;
  auto const Count = Socket_.read_some(asio::buffer(Buffer), Failure);
  if (Failure == asio::error::would_block)
    return waitForBytes();
  if (Failure)
    return end(Failure == asio::error::eof ? ConnectionEnd::Orderly
                                           : ConnectionEnd::Broken);
  // Bytes received after close() are discarded: closing a socket with unread
  // data would send a reset.
  if (State_ == State::Open) {
    auto const Observer = Observer_;
    // The buffer is shared: the observer must not rely on Bytes after it has
    // caused another connection to read.
    Observer->onBytes(std::string_view(Buffer.data(), Count));
  }
  waitForBytes();
}

void Connection::write(std::string Bytes) {
  if (State_ != State::Open || Bytes.empty())
    return;
  Unwritten_ += Bytes.size();
  Writes_.push_back(std::move(Bytes));
  count();
  if (Unwritten_ > MaxHeldBytes)
    AreWritesHeld_ = false;
  if (!IsWriting_ && !AreWritesHeld_)
    writeNext();
}

void Connection::holdWrites() {
  AreWritesHeld_ = true;
  if (Writes_.empty())
    WriteBegunAt_ = readBootClock();
}

void Connection::resumeWrites() {
  AreWritesHeld_ = false;
  bool const CanWrite = State_ == State::Open || State_ == State::Closing;
  if (CanWrite && !IsWriting_ && !Writes_.empty())
    writeNext();
}

void Connection::count() {
  if (!Total_)
    return;
  Total_->remove(Counted_);
  Counted_ = unwrittenBytes();
  if (Counted_ > 0)
    Counted_ += Writes_.size() * BytesOfWrite;
  Total_->add(Counted_);
}

void Connection::writeNext() {
  IsWriting_ = true;
  WriteBegunAt_ = readBootClock();
  asio::async_write(
      Socket_, asio::buffer(Writes_.front()),
      [Self = shared_from_this()](asio::error_code Failure, std::size_t Count) {
        Self->IsWriting_ = false;
        if (Self->State_ == State::Closed)
          return;
        if (Failure)
          return Self->end(ConnectionEnd::Broken);
        Self->Unwritten_ -= Count;
        Self->Writes_.pop_front();
        Self->count();
        if (!Self->Writes_.empty()) {
          if (!Self->AreWritesHeld_)
            Self->writeNext();
          return;
        }
        if (Self->State_ == State::Closing)
          return Self->finishClosing();
        if (auto const Observer = Self->Observer_)
          Observer->onWritten();
      });
}

bool Connection::hasPeerClosed() {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  return ::getsockopt(Socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &Info,
                      &Size) == 0 &&
         Info.tcpi_state == TCP_CLOSE_WAIT;
}

bool Connection::hasPeerRefusedBytes() {
  if (IsBroken_ || Unwritten_ > 0)
    return true;
  if (State_ != State::Ended)
    return false;
  int Failure = 0;
  socklen_t Size = sizeof(Failure);
  // Where the kernel does not tell, nothing is known to be left.
  int Untaken = 0;
  return (::getsockopt(Socket_.native_handle(), SOL_SOCKET, SO_ERROR, &Failure,
                       &Size) == 0 &&
          Failure != 0) ||
         (::ioctl(Socket_.native_handle(), SIOCOUTQ, &Untaken) == 0 &&
          Untaken > 0);
}

void Connection::close() {
  if (State_ == State::Ended)
    return release();
  if (State_ != State::Open)
    return;
  State_ = State::Closing;
  Observer_.reset();
  if (Writes_.empty())
    finishClosing();
}

void Connection::closeIdle(std::function<void()> OnCrossed) {
  if (State_ == State::Open) {
    LeavesUnread_ = true;
    OnCrossed_ = std::move(OnCrossed);
  }
  close();
}

void Connection::finishClosing() {
  asio::error_code Ignored;
  Socket_.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  waitForBytes();
  CloseTimer_.expires_after(CloseLinger);
  CloseTimer_.async_wait([Self = shared_from_this()](asio::error_code Failure) {
    if (!Failure)
      Self->release();
  });
}

void Connection::abort() {
  if (State_ == State::Closed)
    return;
  asio::error_code Ignored;
  Socket_.set_option(asio::socket_base::linger(true, 0), Ignored);
  release();
}

void Connection::abortForMemory() {
  auto Observer = Observer_;
  abort();
  if (Observer)
    asio::post(CloseTimer_.get_executor(), [Observer = std::move(Observer)] {
      Observer->onEnd(ConnectionEnd::Broken);
    });
}

void Connection::end(ConnectionEnd End) {
  auto const Observer = std::move(Observer_);
  IsBroken_ |= End == ConnectionEnd::Broken;
  if (IsKeptAfterEnd_ && State_ == State::Open && End == ConnectionEnd::Orderly)
    State_ = State::Ended;
  else
    release();
  if (Observer)
    Observer->onEnd(End);
}

void Connection::release() {
  if (State_ == State::Closed)
    return;
  State_ = State::Closed;
  if (!IsWriting_)
    Writes_.clear();
  count();
  Observer_.reset();
  CloseTimer_.cancel();
  asio::error_code Ignored;
  Socket_.close(Ignored);
}

} // namespace laburnum
