#include <LibHttp/ProcessWitness.h>

#include <LibHttp/OutboundPool.h>

#include <asio/post.hpp>

#include <utility>

namespace laburnum {

namespace {

/// A process needs less to say who it is.
constexpr MessageBounds Bounds{16384, 65536};

} // namespace

std::shared_ptr<ProcessWitness>
ProcessWitness::create(std::shared_ptr<OutboundPool> Pool, Start Start) {
  std::shared_ptr<ProcessWitness> Created(new ProcessWitness(std::move(Pool)));
  Created->start(Start);
  return Created;
}

ProcessWitness::ProcessWitness(std::shared_ptr<OutboundPool> Pool)
    : Pool_(std::move(Pool)), Connecting_(Pool_->Context_),
      Timer_(Pool_->Context_), Reader_(Bounds, "GET") {}

void ProcessWitness::start(Start Start) {
  if (Start == Start::IdleOrNow)
    Connection_ = Pool_->takeIdleConnection();
  if (!Connection_)
    return connect();
  IsReused_ = true;
  Connection_->setObserver(shared_from_this());
}

void ProcessWitness::connect() {
  auto const Resolved = resolve(Pool_->Address_);
  if (isError(Resolved)) {
    HasFailed_ = true;
    return;
  }
  ++Pool_->Counts_.Opened_;
  Connecting_.async_connect(
      valueOf(Resolved), [Self = shared_from_this()](asio::error_code Failure) {
        if (Self->HasFailed_)
          return;
        if (Failure)
          return Self->fail();
        Self->Connection_ = Connection::create(std::move(Self->Connecting_));
        Self->Connection_->start(Self);
        if (Self->Done_)
          Self->sendQuestion();
      });
}

void ProcessWitness::ask(Duration Timeout, Done Done) {
  Done_ = std::move(Done);
  if (HasFailed_) {
    asio::post(Pool_->Context_, [Self = shared_from_this()] { Self->fail(); });
    return;
  }
  Timer_.expires_after(Timeout);
  Timer_.async_wait([Self = shared_from_this()](asio::error_code Failure) {
    if (!Failure)
      Self->fail();
  });
  if (Connection_)
    sendQuestion();
}

void ProcessWitness::sendQuestion() {
  Connection_->write(serialize(Pool_->Identifier_->request(), 0));
}

void ProcessWitness::cancel() {
  Done_ = nullptr;
  fail();
}

void ProcessWitness::onBytes(std::string_view Bytes) {
  // Without a question these bytes answer an earlier request.
  if (!Done_)
    return fail();
  Reader_.feed(Bytes);
  Body_ += Reader_.takeBody();
  if (Reader_.fault() != MessageFault::None)
    return fail();
  if (!Reader_.isDone())
    return;
  auto Process = Pool_->Identifier_->identify(Reader_.head(), Body_);
  auto const Used = std::exchange(Connection_, nullptr);
  if (Reader_.keepsAlive() && Reader_.takeRest().empty() && Used->isOpen())
    Pool_->keep(Used, Reader_.head(), Process);
  else
    Used->close();
  finish({true, std::move(Process)});
}

void ProcessWitness::onEnd(ConnectionEnd /*End*/) { fail(); }

void ProcessWitness::fail() {
  HasFailed_ = true;
  asio::error_code Ignored;
  Connecting_.close(Ignored);
  if (auto const Used = std::exchange(Connection_, nullptr))
    Used->abort();
  finish({});
}

void ProcessWitness::finish(WitnessAnswer const &Answer) {
  Timer_.cancel();
  if (auto const Finished = std::exchange(Done_, nullptr))
    Finished(Answer);
}

} // namespace laburnum
