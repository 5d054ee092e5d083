#include "RequestSession.h"

#include <LibModel/RunState.h>

namespace laburnum {

using namespace exchange;

namespace {

/// Smaller answers are not given up: that would free little.
constexpr std::size_t MinLargeAnswer = std::size_t{64} << 10;
/// Divisor of the latency target and of the time left to the deadline, which
/// gives the maximum wait in the queue. The rest is left for the server.
constexpr std::int64_t QueueTimeDivisor = 2;
/// Retry-After where neither this instance nor another reaches a server.
constexpr std::chrono::milliseconds RetryAfterCutOff{500};
/// Retry-After of a stream that may not begin before the store knows.
constexpr std::chrono::milliseconds RetryAfterUnrecorded{500};
/// An attempt without a first byte after this percentage of the latency target
/// counts as slow at its server.
constexpr std::int64_t StallPercent = 60;

/// Another instance that is up answers within a few milliseconds.
constexpr std::chrono::milliseconds PeerConnectTimeout{300};
/// Attempts without a connection after which another instance is tried: more
/// servers may have crashed, or this instance may be cut off.
constexpr std::uint32_t UnconnectedBeforePeer = 2;

/// Returns the evidence that a complete answer gives about its attempt.
AttemptEvidence evidenceOf(AnswerClaim Claim) {
  auto const End = Claim == AnswerClaim::NotRun      ? AttemptEnd::Refused
                   : Claim == AnswerClaim::Untrusted ? AttemptEnd::Cancelled
                                                     : AttemptEnd::Answered;
  return {AttemptProgress::AnswerWhole, End, 0, {}};
}

} // namespace

RequestSession::RequestSession(TrafficPlane &Plane,
                               std::shared_ptr<Exchange> Exchange,
                               ReceivedRequest Request,
                               exchange::FlowContext FlowContext)
    : Plane_(Plane), Exchange_(std::move(Exchange)),
      Request_(std::move(Request)), FlowContext_(std::move(FlowContext)),
      RetryGate_(Plane_.Retries_, Plane_.Dependencies_.Guard_,
                 FlowContext_.Fingerprints_),
      Flow_(FlowContext_, RetryGate_, Plane_.Conventions_),
      DeadlineTimer_(Plane_.Dependencies_.Context_),
      StallTimer_(Plane_.Dependencies_.Context_) {}

RequestSession::~RequestSession() {
  Plane_.AttemptingSessions_.erase(this);
  Plane_.BufferedBytes_ -= BufferedBytes_;
}

void RequestSession::start() {
  Exchange_->observe(shared_from_this());
  DeadlineTimer_.expires_after(FlowContext_.Expiry_ - readBootClock());
  DeadlineTimer_.async_wait(
      [Self = shared_from_this()](asio::error_code Failure) {
        if (!Failure)
          Self->handle(TimePassed{});
      });
  carryOut(Flow_.start(readBootClock()));
}

void RequestSession::handle(Event const &Event) {
  if (IsFinished_)
    return;
  carryOut(Flow_.handle(Event, readBootClock()));
  countBuffered();
}

void RequestSession::carryOut(std::vector<Action> const &Actions) {
  auto const Self = shared_from_this();
  for (auto const &Action : Actions)
    std::visit([this](auto const &Kind) { on(Kind); }, Action);
}

void RequestSession::on(FindOrigin const & /*Action*/) {
  Plane_.Origins_.find(FlowContext_,
                       [Self = shared_from_this()](OriginFound const &Found) {
                         Self->handle(Found);
                       });
}

void RequestSession::on(RememberOrigin const &Action) {
  BegunStream_ = Action.Stream_.FirstAttemptId_;
  Plane_.Origins_.onBegun(Action.Stream_, Exchange_);
}

void RequestSession::on(RequestServer const &Action) {
  QueuedService_ =
      Action.Origin_ ? Action.Origin_->Service_ : FlowContext_.Service_;
  Excluded_ = Action.Excluded_;
  bool const IsCutOff = Plane_.Links_.isCut(QueuedService_);
  if (IsCutOff && FlowContext_.Source_ == RequestSource::Peer)
    return refuseCutOff();
  if ((IsCutOff || Unconnected_ >= UnconnectedBeforePeer) &&
      passToPeer(Excluded_))
    return;
  // All other instances have refused or are out of reach.
  if (IsCutOff && Plane_.PeerRoutes_.hasPeers())
    return refuseCutOff();
  if (!isResumable() || Action.Origin_)
    return enqueue(Action);
  Plane_.Origins_.awaitMove(
      FlowContext_.Target_, QueuedService_,
      [Self = shared_from_this(),
       Action](StreamOriginDirectory::RecordState State) {
        if (Self->IsFinished_)
          return;
        if (State == StreamOriginDirectory::RecordState::Recorded)
          return Self->enqueue(Action);
        Self->handle(NoServer{"the route's move is not recorded yet",
                              RetryAfterUnrecorded});
      });
}

bool RequestSession::isResumable() const {
  return FlowContext_.Route_->Form_ == AnswerForm::EventStream &&
         FlowContext_.Route_->Repeatability_ == Repeatability::Resumable;
}

void RequestSession::enqueue(RequestServer const &Action) {
  auto const Now = readBootClock();
  auto const &Route = *FlowContext_.Route_;
  WaitingRequest Waiting;
  Waiting.Ticket_ = Ticket_ = Plane_.NextTicket_++;
  Waiting.Query_ = {FlowContext_.Service_, Action.Excluded_,
                    FlowContext_.Metadata_.SharedPrefix_};
  if (Action.Origin_) {
    Waiting.Query_.Service_ = Action.Origin_->Service_;
    Waiting.Query_.SoftwareVersion_ = Action.Origin_->SoftwareVersion_;
  } else if (isResumable()) {
    Waiting.Query_.VersionRequirement_ = VersionRequirement::Recorded;
  }
  if (!Action.Origin_)
    chooseVersion(Waiting.Query_);
  Waiting.Query_.Work_ = workOf(FlowContext_.Metadata_);
  Waiting.Rank_ = rank();
  Waiting.GiveUpAt_ =
      Now + std::min<Duration>(Route.LatencyTarget_ / QueueTimeDivisor,
                               (FlowContext_.Expiry_ - Now) / QueueTimeDivisor);
  Plane_.enqueue(shared_from_this(), std::move(Waiting));
}

void RequestSession::onAdmission(AdmissionOutcome const &Outcome) {
  if (auto const *const Admission = std::get_if<Admitted>(&Outcome)) {
    auto const Now = readBootClock();
    auto const Refusal =
        Plane_.Dependencies_.Guard_.refusal(FlowContext_.Fingerprints_, Now);
    if (IsFinished_ || Refusal)
      Plane_.Roster_.onEnded(Admission->Server_, AttemptHealth::Unknown, Now);
    if (Refusal)
      return handle(NoServer{std::string(RequestRefuser::reasonOf(
                                 *Refusal, FlowContext_.Fingerprints_)),
                             Refusal->Until_ - Now});
    if (IsFinished_)
      return;
    auto const Attempts = Flow_.attempts();
    handle(ServerAssigned{Admission->Server_});
    // The deadline may be too close to send the request.
    if (!IsFinished_ || Flow_.attempts() > Attempts)
      return;
    return Plane_.Roster_.onEnded(Admission->Server_, AttemptHealth::Unknown,
                                  Now);
  }
  if (Plane_.Links_.isCut(QueuedService_) && passToPeer(Excluded_))
    return;
  auto const &Rejection = std::get<Rejected>(Outcome);
  handle(NoServer{Rejection.Reason_, Rejection.RetryAfter_});
}

void RequestSession::on(CancelServerRequest const & /*Action*/) {
  Plane_.dequeue(Ticket_);
}

void RequestSession::on(SendAttempt const &Action) {
  Plane_.Dependencies_.Metrics_.AttemptsSent_.add();
  Server_ = Action.Server_;
  Access_ = Action.Access_;
  AttemptSentAt_ = readBootClock();
  if (Plane_.Roster_.rateLimiter().isLimited(incarnationOf(*Server_)))
    Plane_.Dependencies_.Metrics_.AttemptsRateLimited_.add();
  Answer_.reset();
  IsUnidentified_ = false;
  LastServer_ = Server_->Id_.text();
  LastIncarnationStart_ = Server_->IncarnationStartMilliseconds_;
  LastSoftwareVersion_ = Server_->SoftwareVersion_;
  LastFraming_.reset();
  if (FirstSentAt_ == TimePoint())
    FirstSentAt_ = AttemptSentAt_;
  auto const &Codec = Plane_.Dependencies_.TrafficCodec_;
  OutboundRequest Outbound;
  Outbound.Body_ = Request_.Body_;
  if (!isDirect()) {
    Outbound.Head_ = Codec.encodeForPeer(Request_.Head_, Action.Metadata_);
    Outbound.ConnectTimeout_ = PeerConnectTimeout;
    // A new connection for each: one that was kept may have been closed, and
    // then it would not be known whether the request has run.
    Call_ = std::make_shared<OutboundPool>(Plane_.Dependencies_.Context_,
                                           Server_->Endpoint_)
                ->start(std::move(Outbound), shared_from_this());
    return;
  }
  auto Metadata = Action.Metadata_;
  Metadata.ServerPriority_ = priorityAtServer();
  Outbound.Head_ = Codec.encode(Request_.Head_, Metadata);
  // Which software version begins or continues a stream has to be certain.
  Outbound.Process_ = processName(*Server_);
  Outbound.ProcessCheck_ = !isResumable() ? ProcessCheck::AtEndOfConnection
                           : Action.Metadata_.Origin_
                               ? ProcessCheck::Required
                               : ProcessCheck::BeforeRequest;
  armStallTimer();
  beginWork();
  tallySent();
  IsAwaited_ = true;
  Plane_.AttemptingSessions_.insert(this);
  Plane_.Links_.onSent(*Server_);
  Plane_.Dependencies_.Guard_.onStarted(
      FlowContext_.Fingerprints_, incarnationOf(*Server_), AttemptSentAt_);
  Call_ =
      Plane_.poolOf(*Server_).start(std::move(Outbound), shared_from_this());
}

HeadDecision RequestSession::onHead(AnswerHead const &Head) {
  auto const &Codec = Plane_.Dependencies_.TrafficCodec_;
  auto const Match = Codec.match(Head, FlowContext_.Metadata_.AttemptId_);
  // On a connection with earlier requests it may be a late answer to any.
  bool const IsAmbiguous =
      Match == AnswerMatch::Unidentified && Call_ && Call_->isReused();
  if (Match == AnswerMatch::AnotherRequest || IsAmbiguous) {
    Plane_.Dependencies_.Metrics_.MismatchedAnswers_.add();
    Plane_.Dependencies_.Log_.write(
        LogLine("foreign_answer")
            .add("id", FlowContext_.Metadata_.AttemptId_)
            .add("server", LastServer_)
            .add("outcome", IsAmbiguous ? "unidentified" : "skipped"));
    if (!IsAmbiguous)
      return HeadDecision::Skip;
    clearStall();
    Answer_ = ServerAnswer();
    handle(HeadArrived{*Answer_});
    return HeadDecision::TakeLast;
  }
  clearStall();
  if (!isDirect()) {
    Answer_ = Codec.decodeFromPeer(Head);
    // Instances mark the ends of their answers.
    if (Call_ && Call_->framing() == AnswerFraming::EndsWithConnection &&
        Answer_->Claim_ != AnswerClaim::NotRun)
      Answer_->Claim_ = AnswerClaim::Untrusted;
    if (FirstAnswerAt_ == TimePoint())
      FirstAnswerAt_ = readBootClock();
    if (Answer_->Claim_ == AnswerClaim::NotRun)
      Plane_.PeerRoutes_.onRefused(QueuedService_, Server_->Id_,
                                   readBootClock());
    handle(HeadArrived{*Answer_});
    return HeadDecision::TakeLast;
  }
  if (Call_) {
    LastFraming_ = Call_->framing();
    IsLastIdentified_ = Call_->isIdentified();
  }
  Plane_.onServerContact(Server_->Service_);
  Answer_ = Codec.decode(Head);
  if (Answer_->Claim_ == AnswerClaim::Succeeded)
    onPromptRead();
  AnswerBegunAt_ = readBootClock();
  Answer_->IsProcessUnidentified_ = IsUnidentified_;
  if (FirstAnswerAt_ == TimePoint())
    FirstAnswerAt_ = readBootClock();
  if (Answer_->Load_)
    Plane_.Roster_.onLoad(*Server_, *Answer_->Load_, readBootClock());
  Plane_.onMaxRefusals(*Server_, Answer_->MaxRefusalsPerSecond_);
  if (Answer_->IsOtherServer_)
    Plane_.onServerReplaced(*Server_, "address taken by another server");
  if (Answer_->IsLeaving_)
    Plane_.onServerLeaving(*Server_);
  if (Answer_->Backoff_)
    Plane_.onServerBackoff(*Server_, *Answer_->Backoff_);
  Plane_.RateLimits_.onAnswer(*Server_, *Answer_, AttemptSentAt_,
                              readBootClock());
  handle(HeadArrived{*Answer_});
  bool const IsLast = Match == AnswerMatch::Unidentified;
  bool const IsBodyUsed = Answer_->Claim_ == AnswerClaim::Succeeded ||
                          Answer_->Claim_ == AnswerClaim::Failed;
  if (IsBodyUsed)
    return IsLast ? HeadDecision::TakeLast : HeadDecision::Take;
  return IsLast ? HeadDecision::TakeHeadLast : HeadDecision::TakeHead;
}

void RequestSession::onBody(std::string_view Bytes) {
  handle(BodyArrived{std::string(Bytes)});
  if (Call_ && BufferedBytes_ > MinLargeAnswer &&
      Plane_.BufferedBytes_ > Plane_.AnswerLimits_.BufferedBytes_) {
    std::exchange(Call_, nullptr)->cancel();
    onFailed({AttemptProgress::AnswerBegun, AttemptEnd::Cancelled,
              Answer_ ? Answer_->Head_.Status_ : 0,
              "the answers take too much memory"});
  }
}

void RequestSession::countBuffered() {
  Plane_.BufferedBytes_ -= BufferedBytes_;
  BufferedBytes_ = Flow_.bufferedBytes();
  Plane_.BufferedBytes_ += BufferedBytes_;
}

void RequestSession::onComplete() {
  if (Flow_.isInsideEvent())
    return onFailed({AttemptProgress::AnswerBegun, AttemptEnd::ConnectionFailed,
                     Answer_->Head_.Status_,
                     "the stream ended inside an event"});
  bool const IsMarked = !Call_ || Call_->framing() == AnswerFraming::Delimited;
  Call_.reset();
  auto const Claim = Answer_ ? Answer_->Claim_ : AnswerClaim::Untrusted;
  if (Claim == AnswerClaim::NotRun)
    Plane_.Dependencies_.Metrics_.AttemptsRefused_.add();
  endAttempt(Claim == AnswerClaim::Succeeded ? AttemptHealth::Worked
             : Claim == AnswerClaim::NotRun  ? AttemptHealth::Refused
             : Claim == AnswerClaim::Failed  ? AttemptHealth::Worked
                                             : AttemptHealth::Failed,
             evidenceOf(Claim));
  handle(AnswerCompleted{IsMarked ? AnswerEnd::Marked : AnswerEnd::Unmarked});
}

void RequestSession::onOtherProcess(std::string const &Process) {
  Plane_.onOtherIncarnation(*Server_, Process);
}

void RequestSession::onUnidentified(DecideUnidentified const &Decide) {
  IsUnidentified_ = true;
  Plane_.Origins_.awaitUnidentified(
      *Server_, [Decide](StreamOriginDirectory::RecordState State) {
        Decide(State == StreamOriginDirectory::RecordState::Recorded
                   ? UnidentifiedUse::Allowed
                   : UnidentifiedUse::Refused);
      });
}

void RequestSession::onFailed(AttemptEvidence const &Evidence) {
  Call_.reset();
  Plane_.Dependencies_.Metrics_.AttemptsFailed_.add();
  if (runStateOf(Evidence) != RunState::NotRun)
    Plane_.Dependencies_.Metrics_.AttemptsBrokenOff_.add();
  Plane_.Dependencies_.Log_.write(
      LogLine("attempt_failed")
          .add("id", FlowContext_.Metadata_.AttemptId_)
          .addHash("content", FlowContext_.Fingerprints_.Content_)
          .addHashes("parts", FlowContext_.Fingerprints_.Parts_)
          .add("attempt", Flow_.attempts())
          .add("server", LastServer_)
          .add("born", Server_->IncarnationStartMilliseconds_)
          .add("run_state", toString(runStateOf(Evidence)))
          .add("why", Evidence.Detail_));
  if (Evidence.Progress_ == AttemptProgress::NotConnected)
    ++Unconnected_;
  // An instance whose answer has begun reaches servers.
  if (!isDirect() && Evidence.Progress_ < AttemptProgress::AnswerBegun)
    Plane_.PeerRoutes_.onRefused(QueuedService_, Server_->Id_, readBootClock());
  else if (isDirect() && Evidence.Progress_ == AttemptProgress::NotConnected &&
           Evidence.End_ == AttemptEnd::ConnectionFailed)
    Plane_.onServerGone(*Server_, "a request");
  if (isDirect() && !Answer_ && Evidence.End_ != AttemptEnd::Refused)
    Plane_.Links_.onFailure(*Server_);
  // It may serve other requests well.
  bool const IsOnlyUnidentified =
      IsUnidentified_ && Evidence.End_ == AttemptEnd::Refused;
  bool const IsServerAtFault =
      !IsOnlyUnidentified && Evidence.End_ != AttemptEnd::Cancelled;
  endAttempt(IsServerAtFault ? AttemptHealth::Failed : AttemptHealth::Unknown,
             Evidence);
  handle(AttemptFailed{Evidence});
}

void RequestSession::armStallTimer() {
  StallTimer_.expires_after(FlowContext_.Route_->LatencyTarget_ * StallPercent /
                            100);
  StallTimer_.async_wait([Self = shared_from_this()](asio::error_code Failure) {
    if (Failure || !Self->Server_ || Self->Answer_)
      return;
    Self->IsStalled_ = true;
    Self->Plane_.Roster_.onSlowFirstByte(*Self->Server_);
  });
}

bool RequestSession::passToPeer(std::set<ServerId> const &Excluded) {
  if (FlowContext_.Source_ == RequestSource::Peer)
    return false;
  auto const Peer =
      Plane_.PeerRoutes_.choose(QueuedService_, Excluded, readBootClock());
  if (!Peer)
    return false;
  Plane_.Dependencies_.Metrics_.PassedToPeers_.add();
  handle(ServerAssigned{*Peer, ServerAccess::ThroughPeer});
  return true;
}

void RequestSession::onLinkCut(ServiceName const &Service) {
  auto const Self = shared_from_this();
  bool const MayRepeat =
      FlowContext_.Route_->Repeatability_ != Repeatability::Never;
  if (!Server_ || Server_->Service_ != Service || !isDirect() || Answer_ ||
      !Call_)
    return;
  // Without a connection nothing was sent, so another way may be tried.
  auto const Progress = Call_->progress();
  if (Progress != AttemptProgress::NotConnected && !MayRepeat)
    return;
  std::exchange(Call_, nullptr)->cancel();
  AttemptEvidence const Evidence{Progress, AttemptEnd::TimedOut, 0,
                                 "this instance lost its link to the servers"};
  endAttempt(AttemptHealth::Unknown, {Progress, AttemptEnd::Cancelled, 0, {}});
  handle(AttemptFailed{Evidence});
}

void RequestSession::onLinkCutInQueue(ServiceName const &Service) {
  if (QueuedService_ != Service)
    return;
  auto const Ticket = Ticket_;
  if (FlowContext_.Source_ == RequestSource::Peer)
    refuseCutOff();
  else if (!passToPeer(Excluded_))
    return;
  Plane_.dequeue(Ticket);
}

void RequestSession::refuseCutOff() {
  handle(NoServer{"this instance reaches no server", RetryAfterCutOff});
}

void RequestSession::clearStall() {
  StallTimer_.cancel();
  if (std::exchange(IsAwaited_, false))
    Plane_.Links_.onWaitEnded(*Server_);
  if (std::exchange(IsStalled_, false))
    Plane_.Roster_.onFirstByteWaitEnded(*Server_);
}

void RequestSession::endAttempt(AttemptHealth Health,
                                AttemptEvidence const &Evidence) {
  if (!Server_)
    return;
  clearStall();
  endWork();
  Plane_.AttemptingSessions_.erase(this);
  if (isDirect()) {
    tallyEnd(Health);
    Plane_.Roster_.onEnded(*Server_, Health, readBootClock());
    Plane_.onAttemptEnded(FlowContext_.Fingerprints_, *Server_, Evidence);
  }
  Server_.reset();
  Plane_.advanceQueue();
}

void RequestSession::on(CancelAttempt const &Action) {
  if (!Action.Reason_.empty())
    Plane_.Dependencies_.Log_.write(
        LogLine("attempt_cancelled")
            .add("id", FlowContext_.Metadata_.AttemptId_)
            .add("attempt", Flow_.attempts())
            .add("server", LastServer_)
            .add("born", LastIncarnationStart_)
            .add("total_ms", readBootClock() - Request_.BegunAt_)
            .add("why", Action.Reason_));
  if (auto const Call = std::exchange(Call_, nullptr))
    Call->cancel();
  // A server that sent no byte until the deadline has failed.
  bool const HasStalledToDeadline =
      IsStalled_ && readBootClock() >= FlowContext_.Expiry_;
  endAttempt(Answer_                ? AttemptHealth::Worked
             : HasStalledToDeadline ? AttemptHealth::Failed
                                    : AttemptHealth::Unknown,
             {AttemptProgress::RequestSent, AttemptEnd::Cancelled, 0, {}});
}

void RequestSession::on(CountRun const & /*Action*/) {
  if (!FlowContext_.Account_.isEmpty())
    Plane_.Dependencies_.Usage_.count(
        FlowContext_.Account_,
        Plane_.Dependencies_.Clock_.read(readBootClock()));
}

} // namespace laburnum
