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
ProcessWitness::connect(std::shared_ptr<OutboundPool> Pool) {
  std::shared_ptr<ProcessWitness> Created(new ProcessWitness(std::move(Pool)));
  Created->start();
  return Created;
}

std::shared_ptr<ProcessWitness>
ProcessWitness::connectTo(std::string const &Process,
                          std::shared_ptr<OutboundPool> Pool) {
  auto Idle = Pool->takeIdleConnection(Process);
  if (!Idle)
    return connect(std::move(Pool));
  std::shared_ptr<ProcessWitness> Created(new ProcessWitness(std::move(Pool)));
  Created->Connection_ = std::move(Idle);
  Created->Connection_->setObserver(Created);
  return Created;
}

ProcessWitness::ProcessWitness(std::shared_ptr<OutboundPool> Pool)
    : Pool_(std::move(Pool)), Connecting_(Pool_->Context_),
      Timer_(Pool_->Context_),
      Reader_(Bounds, Pool_->Identifier_->request().Method_) {}

void ProcessWitness::start() {
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
        if (auto const Ready = std::exchange(Self->Ready_, nullptr))
          Ready();
        if (Self->Done_)
          Self->sendQuestion();
      });
}

void ProcessWitness::whenReady(Ready Ready) {
  Ready_ = std::move(Ready);
  if (!HasFailed_ && !Connection_)
    return;
  asio::post(Pool_->Context_, [Self = shared_from_this()] {
    if (auto const Ready = std::exchange(Self->Ready_, nullptr))
      Ready();
  });
}

void ProcessWitness::ask(Duration Timeout, Done Done) {
  Lost_ = nullptr;
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
  Ready_ = nullptr;
  Lost_ = nullptr;
  Done_ = nullptr;
  fail();
}

void ProcessWitness::onBytes(std::string_view Bytes) {
  // Nothing was asked: these bytes answer an earlier request.
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
  if (Reader_.keepsAlive() && Reader_.takeRest().empty() && Used->isOpen() &&
      Reader_.framing() == AnswerFraming::Delimited)
    Pool_->keep(Used, Reader_.head(), Process);
  else
    Used->close();
  finish({true, std::move(Process)});
}

void ProcessWitness::onEnd(ConnectionEnd End) {
  // An identification that is cut short can't be read.
  if (End == ConnectionEnd::Orderly && Done_ && Reader_.isHeadDone()) {
    Connection_.reset();
    return finish({true, Pool_->Identifier_->identify(Reader_.head(), Body_)});
  }
  IsConnectionLost_ = true;
  fail(End);
}

void ProcessWitness::fail(ConnectionEnd End) {
  HasFailed_ = true;
  asio::error_code Ignored;
  Connecting_.close(Ignored);
  if (auto const Used = std::exchange(Connection_, nullptr))
    Used->abort();
  if (auto const Ready = std::exchange(Ready_, nullptr))
    Ready();
  if (auto const Lost = std::exchange(Lost_, nullptr))
    Lost(End);
  // The head was sent after the question.
  finish({Reader_.isHeadDone() && Reader_.fault() == MessageFault::None,
          {},
          IsConnectionLost_});
}

void ProcessWitness::finish(WitnessAnswer const &Answer) {
  Timer_.cancel();
  if (auto const Finished = std::exchange(Done_, nullptr))
    Finished(Answer);
}

} // namespace laburnum
