#include <LibHttp/OutboundCall.h>

#include <LibHttp/OutboundPool.h>

#include <utility>

namespace laburnum {

namespace {

/// Maximum number of answers to earlier requests that one call skips: a late
/// answer may arrive for each request that was abandoned on the connection.
constexpr std::uint32_t MaxSkipped = 4;
constexpr std::chrono::milliseconds IdentificationTimeout{400};
/// How often one call asks a server on new connections before the request, and
/// after the answer's end.
constexpr std::uint32_t MaxQuestions = 2;

bool isTemporaryFailure(std::int32_t Status) {
  return Status == 429 || Status / 100 == 5;
}

} // namespace

OutboundCall::OutboundCall(std::shared_ptr<OutboundPool> Pool,
                           OutboundRequest Request,
                           std::shared_ptr<AnswerObserver> Observer)
    : Pool_(std::move(Pool)), Request_(std::move(Request)),
      Observer_(std::move(Observer)), Connecting_(Pool_->Context_),
      ConnectTimer_(Pool_->Context_),
      Reader_(Request_.AnswerBounds_, Request_.Head_.Method_) {}

void OutboundCall::armTimer(Duration Timeout, char const *Detail) {
  ConnectTimer_.expires_after(Timeout);
  ConnectTimer_.async_wait(
      [Self = shared_from_this(), Detail](asio::error_code Failure) {
        if (!Failure && Self->Progress_ < AttemptProgress::RequestSent)
          Self->fail(AttemptEnd::TimedOut, Detail);
      });
}

void OutboundCall::connect() {
  ++Pool_->Counts_.Opened_;
  auto const Self = shared_from_this();
  auto const Resolved = resolve(Pool_->Address_);
  if (isError(Resolved)) {
    // The observer must not be called from within start().
    asio::post(Pool_->Context_, [Self, Reason = errorOf(Resolved).Message_] {
      Self->fail(AttemptEnd::ConnectionFailed, Reason);
    });
    return;
  }
  Progress_ = AttemptProgress::NotConnected;
  armTimer(Request_.ConnectTimeout_, "no connection in time");
  Connecting_.async_connect(
      valueOf(Resolved), [Self](asio::error_code Failure) {
        if (Self->isOver())
          return;
        if (Failure)
          return Self->fail(AttemptEnd::ConnectionFailed, Failure.message());
        Self->useConnection(Connection::create(std::move(Self->Connecting_)));
        Self->Connection_->start(Self);
      });
}

void OutboundCall::useConnection(std::shared_ptr<Connection> Open) {
  Connection_ = std::move(Open);
  Connection_->setObserver(shared_from_this());
  if (needsIdentification())
    return identify();
  if (Process_ || !Pool_->Identifier_ ||
      Request_.ProcessCheck_ == ProcessCheck::AtEndOfConnection)
    return prepareRequest();
  // The observer must not be called from within start().
  Progress_ = AttemptProgress::Connected;
  asio::post(Pool_->Context_, [Self = shared_from_this()] {
    if (!Self->isOver())
      Self->proceedUnidentified();
  });
}

bool OutboundCall::needsIdentification() const {
  if (!Request_.Process_ || Process_ || !Pool_->Identifier_)
    return false;
  switch (Request_.ProcessCheck_) {
  case ProcessCheck::Required:
    return true;
  case ProcessCheck::BeforeRequest:
    return !Pool_->IsUnidentifiable_;
  case ProcessCheck::AtEndOfConnection:
    return !Pool_->IsUnidentifiable_ && Pool_->HasUnmarkedEnds_;
  }
  return true;
}

void OutboundCall::identify() {
  Progress_ = AttemptProgress::Connected;
  IsIdentifying_ = true;
  if (!IsReused_)
    ++Questions_;
  Identification_.clear();
  auto const Head = Pool_->Identifier_->request();
  Reader_ = AnswerReader(Request_.AnswerBounds_, Head.Method_);
  armTimer(IdentificationTimeout,
           "the server does not identify itself in time");
  Connection_->write(serialize(Head, 0));
}

void OutboundCall::onIdentification() {
  Identification_ += Reader_.takeBody();
  bool const IsEndless = Reader_.isHeadDone() &&
                         Reader_.framing() == AnswerFraming::EndsWithConnection;
  if (Reader_.fault() != MessageFault::None || IsEndless)
    return onUnidentifiable(false);
  if (!Reader_.isDone())
    return;
  bool const IsClean = Reader_.keepsAlive() && Reader_.takeRest().empty();
  Process_ = Pool_->Identifier_->identify(Reader_.head(), Identification_);
  bool const MayBeAnother =
      Request_.ProcessCheck_ == ProcessCheck::AtEndOfConnection;
  if (!Process_ && isTemporaryFailure(Reader_.head().Status_) && !IsReused_ &&
      !MayBeAnother)
    return fail(AttemptEnd::Refused, "the server does not identify itself now");
  if (!Process_)
    return onUnidentifiable(IsClean);
  if (Process_ != Request_.Process_ && !MayBeAnother) {
    Observer_->onOtherProcess(*Process_);
    return fail(AttemptEnd::Refused,
                "another process has the server's address");
  }
  Pool_->IsUnidentifiable_ = false;
  if (IsClean)
    return prepareRequest();
  if (!mayAskAgain())
    return fail(AttemptEnd::ConnectionFailed,
                "closed after the identification");
  reconnect();
}

bool OutboundCall::mayAskAgain() const {
  return IsReused_ || Questions_ < MaxQuestions;
}

void OutboundCall::onUnidentifiable(bool IsConnectionClean) {
  // A single unusable answer may be an error of the server, or on a reused
  // connection a late answer to an earlier request.
  bool const IsUsable = IsConnectionClean && !IsReused_;
  bool const IsFinal = IsUsable || !mayAskAgain();
  if (IsFinal)
    Pool_->IsUnidentifiable_ = true;
  bool const IsRequired = Request_.ProcessCheck_ == ProcessCheck::Required;
  IsUsable || (IsFinal && IsRequired) ? proceedUnidentified() : reconnect();
}

void OutboundCall::proceedUnidentified() {
  if (Request_.ProcessCheck_ == ProcessCheck::AtEndOfConnection)
    return prepareRequest();
  ConnectTimer_.cancel();
  IsUndecided_ = true;
  Observer_->onUnidentified(
      [Self = shared_from_this()](AnswerObserver::UnidentifiedUse Use) {
        if (!Self->isOver())
          Self->onDecided(Use);
      });
  if (Request_.ProcessCheck_ == ProcessCheck::Required)
    fail(AttemptEnd::Refused, "the server does not identify itself");
}

void OutboundCall::onDecided(AnswerObserver::UnidentifiedUse Use) {
  if (!std::exchange(IsUndecided_, false) ||
      Request_.ProcessCheck_ == ProcessCheck::Required)
    return;
  if (Use == AnswerObserver::UnidentifiedUse::Allowed)
    prepareRequest();
  else
    fail(AttemptEnd::Refused,
         "the server does not identify itself, and the store does not know");
}

void OutboundCall::prepareRequest() {
  if (Process_ || !Pool_->Identifier_ || !Pool_->HasUnmarkedEnds_)
    return sendRequest();
  // The process can't be told by its name after the answer's end.
  IsIdentifying_ = false;
  armTimer(Request_.ConnectTimeout_, "no second connection in time");
  createAnswerWitness();
  AnswerWitness_->openBeforeRequest([Self = shared_from_this()] {
    if (!Self->isOver())
      Self->sendRequest();
  });
}

bool OutboundCall::isAnswerOpen() const {
  return Connection_->isOpen() && !Connection_->hasPeerClosed();
}

void OutboundCall::createAnswerWitness() {
  AnswerWitness_ = AnswerWitness::create(Pool_, [Self = weak_from_this()] {
    auto const Alive = Self.lock();
    return Alive && !Alive->isOver() && Alive->isAnswerOpen();
  });
}

void OutboundCall::reconnect() {
  IsIdentifying_ = false;
  IsReused_ = false;
  Process_.reset();
  std::exchange(Connection_, nullptr)->abort();
  connect();
}

void OutboundCall::sendRequest() {
  ConnectTimer_.cancel();
  IsIdentifying_ = false;
  IsEndExpected_ = Pool_->HasUnmarkedEnds_;
  Reader_ = AnswerReader(Request_.AnswerBounds_, Request_.Head_.Method_);
  Progress_ = AttemptProgress::RequestSent;
  HasWrittenAll_ = false;
  Connection_->keepAfterEnd();
  Connection_->write(
      serialize(Request_.Head_, Request_.Body_.size()).append(Request_.Body_));
}

void OutboundCall::onWritten() { HasWrittenAll_ = true; }

void OutboundCall::cancel() {
  if (isOver())
    return;
  Observer_.reset();
  ConnectTimer_.cancel();
  asio::error_code Ignored;
  Connecting_.close(Ignored);
  if (Connection_)
    Connection_->abort();
  dropWitness();
}

void OutboundCall::dropWitness() {
  if (auto const Dropped = std::exchange(Witness_, nullptr))
    Dropped->cancel();
  if (auto const Dropped = std::exchange(AnswerWitness_, nullptr))
    Dropped->cancel();
}

void OutboundCall::onBytes(std::string_view Bytes) {
  if (isOver())
    return;
  if (IsUndecided_)
    return fail(AttemptEnd::ConnectionFailed, "bytes that were not asked for");
  Reader_.feed(Bytes);
  IsIdentifying_ ? onIdentification() : deliver();
}

void OutboundCall::takeHead() {
  HasTakenHead_ = true;
  Progress_ = std::max(Progress_, AttemptProgress::AnswerBegun);
  auto const Decision = Observer_->onHead(Reader_.head());
  IsSkipping_ = Decision == HeadDecision::Skip;
  IsHeadOnly_ = Decision == HeadDecision::TakeHead ||
                Decision == HeadDecision::TakeHeadLast;
  IsLast_ |= Decision == HeadDecision::TakeLast ||
             Decision == HeadDecision::TakeHeadLast;
  if (isOver() || !needsWitness())
    return;
  Pool_->HasUnmarkedEnds_ = true;
  // Another process may have the address once the peer has closed.
  if (AnswerWitness_ || !isAnswerOpen())
    return;
  createAnswerWitness();
  AnswerWitness_->open(Process_);
}

bool OutboundCall::needsWitness() const {
  return Pool_->Identifier_ && !IsSkipping_ && !IsHeadOnly_ &&
         Reader_.framing() == AnswerFraming::EndsWithConnection;
}

void OutboundCall::deliver() {
  auto const Self = shared_from_this();
  while (!isOver()) {
    if (Reader_.isHeadDone() && !HasTakenHead_)
      takeHead();
    if (isOver())
      return;
    auto const Body = Reader_.takeBody();
    if (!Body.empty() && !IsSkipping_)
      Observer_->onBody(Body);
    if (isOver())
      return;
    if (Reader_.fault() != MessageFault::None)
      return fail(AttemptEnd::ConnectionFailed, "the answer is not valid HTTP");
    if (!Reader_.isDone())
      return;
    if (!IsSkipping_)
      return complete();
    if (++Skipped_ > MaxSkipped)
      return fail(AttemptEnd::ConnectionFailed, "too many foreign answers");
    auto const Rest = Reader_.takeRest();
    Reader_ = AnswerReader(Request_.AnswerBounds_, Request_.Head_.Method_);
    HasTakenHead_ = false;
    Progress_ = AttemptProgress::RequestSent;
    if (Rest.empty())
      return;
    Reader_.feed(Rest);
  }
}

void OutboundCall::complete() {
  auto const Observer = std::exchange(Observer_, nullptr);
  Progress_ = AttemptProgress::AnswerWhole;
  dropWitness();
  // If the answer came before the whole request was written, or bytes follow
  // the answer, the connection cannot be reused.
  bool const IsClean = !IsLast_ && Reader_.keepsAlive() && HasWrittenAll_ &&
                       Connection_->isOpen() && Reader_.takeRest().empty() &&
                       Reader_.framing() == AnswerFraming::Delimited;
  if (IsClean)
    Pool_->keep(Connection_, Reader_.head(), std::move(Process_));
  else
    Connection_->close();
  Observer->onComplete();
}

void OutboundCall::onEnd(ConnectionEnd End) {
  if (isOver())
    return;
  if (End == ConnectionEnd::Orderly && HasTakenHead_ && !IsSkipping_) {
    if (Reader_.framing() == AnswerFraming::EndsWithConnection &&
        Connection_->hasPeerRefusedBytes())
      return failUntaken();
    if (needsWitness())
      return verifyEnd();
    Reader_.endOfInput();
    if (Reader_.isDone())
      return deliver();
  }
  fail(AttemptEnd::ConnectionFailed, End == ConnectionEnd::Orderly
                                         ? "closed before the answer was whole"
                                         : "connection reset");
}

void OutboundCall::failUntaken() {
  fail(AttemptEnd::ConnectionFailed,
       "closed before the server had taken the request");
}

void OutboundCall::verifyEnd() {
  if (AnswerWitness_) {
    if (AnswerWitness_->hasEndedWithAnswer(readClock()))
      return fail(AttemptEnd::ConnectionFailed,
                  "the server's connections have ended together");
    IsWitnessEarlier_ = AnswerWitness_->isEarlier();
    Witness_ = AnswerWitness_->take();
  }
  // Where no connection is open any more, the process may identify itself.
  if (!Witness_ && Process_)
    Witness_ = ProcessWitness::connectTo(*Process_, Pool_);
  else if (!Witness_)
    Witness_ = ProcessWitness::connect(Pool_);
  askWitness();
}

void OutboundCall::askWitness() {
  ++EndQuestions_;
  Witness_->ask(IdentificationTimeout,
                [Self = shared_from_this()](WitnessAnswer const &Answer) {
                  if (!Self->isOver())
                    Self->onWitness(Answer);
                });
}

void OutboundCall::onWitness(WitnessAnswer const &Answer) {
  Witness_.reset();
  if (isProof(Answer) && Connection_->hasPeerRefusedBytes())
    return failUntaken();
  if (isProof(Answer)) {
    Reader_.endOfInput();
    return deliver();
  }
  // The server may have closed an idle connection, or be too busy once.
  bool const HasEndedTogether = IsWitnessEarlier_ && Answer.IsConnectionLost_;
  if (Process_ && !Answer.Process_ && !HasEndedTogether &&
      EndQuestions_ < MaxQuestions) {
    IsWitnessEarlier_ = false;
    Witness_ = ProcessWitness::connect(Pool_);
    return askWitness();
  }
  fail(AttemptEnd::ConnectionFailed,
       "the server's process may have ended before its answer");
}

bool OutboundCall::isProof(WitnessAnswer const &Answer) const {
  if (Process_)
    return Answer.Process_ == Process_;
  if (IsWitnessEarlier_)
    return Answer.HasAnswered_;
  if (Answer.Process_)
    return Answer.Process_ == Request_.Process_;
  // A sound answer of a server that does not identify itself may be over before
  // a witness is open. Its next one has the witness before the request.
  bool const IsFirst = !IsEndExpected_ && !AnswerWitness_;
  return IsFirst && Answer.HasAnswered_ &&
         Request_.ProcessCheck_ == ProcessCheck::AtEndOfConnection;
}

void OutboundCall::fail(AttemptEnd End, std::string Detail) {
  auto const Observer = std::exchange(Observer_, nullptr);
  if (!Observer)
    return;
  dropWitness();
  ConnectTimer_.cancel();
  asio::error_code Ignored;
  Connecting_.close(Ignored);
  if (Connection_)
    Connection_->abort();
  auto const Status = HasTakenHead_ ? Reader_.head().Status_ : 0;
  Observer->onFailed({Progress_, End, Status, std::move(Detail)});
}

} // namespace laburnum
