#include <LibTraffic/ExchangeFlow.h>

#include <LibModel/RunState.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace laburnum {

using namespace exchange;

namespace {

/// Maximum attempts of one request, including those that servers refused. After
/// this many refusals the client should rather retry later.
constexpr std::uint32_t MaxSends = 4;
/// A server cannot answer in less time than this.
constexpr std::chrono::milliseconds MinTimeForAttempt{5};
/// Time left that makes a further attempt worthwhile.
constexpr std::chrono::milliseconds MinTimeForRetry{30};
/// Retry-After for a client whose request was refused by all servers tried.
constexpr std::chrono::milliseconds RetryAfterRefusals{200};
/// Retry-After for a client whose stream has an origin that is not known here:
/// another instance may know it.
constexpr std::chrono::milliseconds RetryAfterUnknownOrigin{500};

/// Limit of the data without an identifier that is held back.
constexpr std::size_t MaxHeldBackBytes = std::size_t{64} << 10;

constexpr std::int32_t BadGateway = 502;
constexpr std::int32_t ServiceUnavailable = 503;
constexpr std::int32_t GatewayTimeout = 504;

/// Returns whether clients take the status as a guarantee that their request
/// has not run. A server's failure with such a status is no such guarantee and
/// must not be relayed.
bool promisesNotRun(std::int32_t Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// Returns the content type without its parameters.
std::string mediaType(AnswerHead const &Head) {
  auto const Type = Head.Fields_.valueOr("Content-Type");
  return std::string(Type.substr(0, Type.find_first_of("; ")));
}

bool hasData(StreamEvent const &Event) {
  return Event.Bytes_.starts_with("data") ||
         Event.Bytes_.find("\ndata") != std::string::npos;
}

std::size_t hashOf(StreamEvent const &Event) {
  return std::hash<std::string>()(Event.Bytes_);
}

} // namespace

ExchangeFlow::ExchangeFlow(FlowContext FlowContext, RetryGate &Gate,
                           StreamConventions &Conventions)
    : Context_(std::move(FlowContext)), RetryGate_(Gate),
      Conventions_(Conventions), LastEventId_(Context_.Metadata_.LastEventId_) {
}

std::vector<Action> ExchangeFlow::start(TimePoint Now) {
  Now_ = Now;
  if (mayHideProgress()) {
    refuse(ServiceUnavailable, "passed on by an instance of an older release",
           RetryAfterUnknownOrigin);
  } else if (isStream() && Context_.Metadata_.TakesUpStream_) {
    State_ = State::FindingOrigin;
    Actions_.push_back(FindOrigin{});
  } else {
    Actions_.push_back(RequestServer{});
  }
  return std::exchange(Actions_, {});
}

std::vector<Action> ExchangeFlow::handle(Event const &Event, TimePoint Now) {
  Now_ = Now;
  if (State_ != State::Over)
    std::visit([this](auto const &Kind) { on(Kind); }, Event);
  return std::exchange(Actions_, {});
}

void ExchangeFlow::on(OriginFound const &Event) {
  if (State_ != State::FindingOrigin)
    return;
  if (!Event.Origin_)
    return refuse(ServiceUnavailable, Event.Reason_, RetryAfterUnknownOrigin);
  State_ = State::Waiting;
  Origin_ = Event.Origin_;
  Actions_.push_back(RequestServer{{}, Origin_});
}

void ExchangeFlow::on(ServerAssigned const &Event) {
  if (State_ != State::Waiting)
    return;
  // After the process was suspended, this may be long past the deadline.
  if (Context_.Expiry_ - Now_ < MinTimeForAttempt)
    return on(NoServer{"no server in the time allowed", RetryAfterRefusals});
  State_ = State::Attempting;
  Tried_.insert(incarnationOf(Event.Server_));
  ++Sent_;
  Access_ = Event.Access_;
  AttemptOrigin_ = {Event.Server_.Service_, Event.Server_.SoftwareVersion_};
  Answer_.reset();
  // Another instance adds the margin for the server that it chooses.
  auto const Margin =
      isThroughPeer() ? Duration(0) : Context_.ServerDeadlineMargin_;
  auto const TimeLeft = std::max(Context_.Expiry_ - Now_, Duration(0)) + Margin;
  AttemptDeadline_ =
      Now_ + std::chrono::floor<std::chrono::milliseconds>(TimeLeft);
  HasSentEvent_ = false;
  if (!IsEndUnconfirmed_)
    HeldBackData_.clear();
  Body_.clear();
  Splitter_ = EventStreamSplitter();
  Actions_.push_back(
      SendAttempt{Event.Server_,
                  {Event.Server_.Id_, Context_.Account_, TimeLeft, LastEventId_,
                   Origin_ ? firstAttemptId() : std::string(), Origin_},
                  Access_});
}

void ExchangeFlow::on(NoServer const &Event) {
  if (State_ != State::Waiting)
    return;
  if (Runs_ > 0)
    return fail(Event.Reason_);
  refuse(ServiceUnavailable, Event.Reason_, Event.RetryAfter_);
}

void ExchangeFlow::on(HeadArrived const &Event) {
  if (State_ != State::Attempting)
    return;
  Answer_ = Event.Answer_;
  // Only another stream can continue one; anything else is an error's text.
  auto const Type = mediaType(Answer_->Head_);
  if (!HasBegunStream_)
    StreamType_ = Type;
  else if (!equalsIgnoringCase(Type, StreamType_) &&
           Answer_->Claim_ == AnswerClaim::Succeeded)
    Answer_->Claim_ = AnswerClaim::Untrusted;
}

void ExchangeFlow::on(BodyArrived const &Event) {
  if (State_ != State::Attempting || !Answer_)
    return;
  // These bodies are never sent to the client.
  if (Answer_->Claim_ == AnswerClaim::Untrusted ||
      Answer_->Claim_ == AnswerClaim::NotRun)
    return;
  if (Answer_->Claim_ != AnswerClaim::Succeeded || !isStream()) {
    Body_ += Event.Bytes_;
    return;
  }
  processEvents(Splitter_.feed(Event.Bytes_));
  if (State_ == State::Attempting && Splitter_.isOverlong())
    cancelAttempt("event too long");
}

void ExchangeFlow::processEvents(std::vector<StreamEvent> Events) {
  std::string Bytes;
  std::string Fault;
  for (auto &Event : Events) {
    if (!Event.Id_) {
      // The client has what follows the last event of a whole stream.
      if (IsEndUnconfirmed_)
        continue;
      if (hasData(Event))
        Conventions_.onData(writer(), false);
      if (mustHoldBack(Event))
        HeldBackData_ += Event.Bytes_;
      else if (hasData(Event))
        Bytes += std::exchange(HeldBackData_, {}) + Event.Bytes_;
      else
        Bytes += Event.Bytes_;
      continue;
    }
    bool const IsFirst = !std::exchange(HasSentEvent_, true);
    Fault = faultOf(Event, IsFirst);
    learnFrom(Event, IsFirst);
    if (!Fault.empty())
      break;
    if (Event.Id_ <= LastEventId_)
      continue;
    if (std::exchange(IsEndUnconfirmed_, false)) {
      IsEndDoubtful_ = true;
      HeldBackData_.clear();
    }
    LastEventId_ = Event.Id_;
    LastEventHash_ = hashOf(Event);
    SkippedTo_.reset();
    Bytes += std::exchange(HeldBackData_, {}) + Event.Bytes_;
  }
  relayBytes(std::move(Bytes));
  if (!Fault.empty())
    cancelAttempt(Fault);
}

bool ExchangeFlow::mustHoldBack(StreamEvent const &Event) const {
  return hasData(Event) && Conventions_.numbersData(writer()) &&
         HeldBackData_.size() + Event.Bytes_.size() <= MaxHeldBackBytes;
}

StreamOrigin const &ExchangeFlow::writer() const {
  return isThroughPeer() && Answer_ && Answer_->Origin_ ? *Answer_->Origin_
                                                        : AttemptOrigin_;
}

void ExchangeFlow::relayBytes(std::string Bytes) {
  if (Bytes.empty())
    return;
  countRun();
  if (!HasBegunStream_) {
    HasBegunStream_ = true;
    if (Answer_->IsProcessUnidentified_)
      AttemptOrigin_.SoftwareVersion_ = UnidentifiedVersion;
    if (auto const Begun =
            isThroughPeer() ? Answer_->Origin_ : std::optional(AttemptOrigin_))
      rememberOrigin(*Begun);
    Actions_.push_back(BeginStream{Answer_->Head_});
  }
  Actions_.push_back(RelayEvents{std::move(Bytes)});
}

std::string ExchangeFlow::faultOf(StreamEvent const &Event, bool IsFirst) {
  if (!IsFirst && Event.Id_ <= LastEventId_) {
    bool const IsRepeated =
        Event.Id_ == LastEventId_ && LastEventHash_ == hashOf(Event);
    return IsRepeated ? "" : "the server's identifiers do not increase";
  }
  bool const Continues = IsFirst && LastEventId_;
  bool const IsNext =
      Continues      ? goesOnAt(Event)
      : LastEventId_ ? !Conventions_.isGap(writer(), *Event.Id_ - *LastEventId_)
                     : !Conventions_.isLateFirst(writer(), *Event.Id_);
  if (IsNext)
    return {};
  // What two servers leave out does not exist, unless one has spoiled it.
  if (SkippedTo_ == Event.Id_ && HeldBackData_.empty()) {
    if (LastEventId_)
      Conventions_.onAgreedStep(writer(), *Event.Id_ - *LastEventId_);
    return {};
  }
  if (Event.Id_ > LastEventId_)
    SkippedTo_ = Event.Id_;
  return Continues ? "the server does not go on after the last event"
                   : "the server has left out an event";
}

bool ExchangeFlow::goesOnAt(StreamEvent const &First) const {
  // The last event may come again, if it is the same.
  if (First.Id_ == LastEventId_)
    return LastEventHash_ == hashOf(First);
  return First.Id_ > LastEventId_ &&
         Conventions_.mayFollow(writer(), *First.Id_ - *LastEventId_);
}

void ExchangeFlow::learnFrom(StreamEvent const &Event, bool IsFirst) {
  Conventions_.onData(writer(), true);
  if (!LastEventId_)
    Conventions_.onFirst(writer(), *Event.Id_);
  else if (!IsFirst && Event.Id_ > LastEventId_)
    Conventions_.onStep(writer(), *Event.Id_ - *LastEventId_);
}

void ExchangeFlow::rememberOrigin(StreamOrigin const &Origin) {
  Origin_ = Origin;
  // The instance that passes a stream on may get it from another one in the
  // end, and remembers what it sends to the client.
  if (Context_.Source_ == RequestSource::Peer)
    return;
  if (Context_.Route_->Repeatability_ == Repeatability::Resumable &&
      !firstAttemptId().empty())
    Actions_.push_back(RememberOrigin{{firstAttemptId(), *Origin_}});
}

bool ExchangeFlow::mayHideProgress() const {
  return Context_.Source_ == RequestSource::Peer && isStream() &&
         Context_.Route_->Repeatability_ == Repeatability::Resumable &&
         Context_.Metadata_.Peer_.Support_ == PeerFieldSupport::None;
}

std::string const &ExchangeFlow::firstAttemptId() const {
  auto const &Metadata = Context_.Metadata_;
  return Metadata.TakesUpStream_ ? Metadata.FirstAttemptId_
                                 : Metadata.AttemptId_;
}

void ExchangeFlow::countRun() {
  // The instance that chose the server counts the run.
  if (HasCountedRun_ || isThroughPeer())
    return;
  HasCountedRun_ = true;
  Actions_.push_back(CountRun{});
}

void ExchangeFlow::on(AnswerCompleted const &Event) {
  if (State_ != State::Attempting || !Answer_)
    return;
  auto const &Head = Answer_->Head_;
  switch (Answer_->Claim_) {
  case AnswerClaim::Succeeded:
    if (isStream())
      return endStream(Event.End_);
    if (Event.End_ == AnswerEnd::Unmarked && mayHaveStoppedAtDeadline())
      return endAttempt(true, "the server may have stopped at the deadline");
    countRun();
    State_ = State::Over;
    Actions_.push_back(SendCompleteAnswer{Head, std::move(Body_)});
    return;
  case AnswerClaim::NotRun:
    return endAttempt(false, "refused by the server with " +
                                 std::to_string(Head.Status_));
  case AnswerClaim::Failed:
    countRun();
    if (!promisesNotRun(Head.Status_))
      LastFailure_ = SendCompleteAnswer{Head, std::move(Body_)};
    return endAttempt(true,
                      "the server failed with " + std::to_string(Head.Status_));
  case AnswerClaim::Untrusted:
    return endAttempt(true, "the server's answer bears no signature");
  }
}

void ExchangeFlow::on(AttemptFailed const &Event) {
  if (State_ != State::Attempting)
    return;
  auto const &Evidence = Event.Evidence_;
  if (Evidence.Progress_ <= AttemptProgress::Connected)
    return endUnconnectedAttempt(Evidence.Detail_);
  endAttempt(runStateOf(Evidence) != RunState::NotRun, Evidence.Detail_);
}

void ExchangeFlow::endUnconnectedAttempt(std::string const &Reason) {
  // Takes no retry from the budget, as the server got no request.
  retryOrFail(hasTimeAndAttempts(), Reason);
}

void ExchangeFlow::endAttempt(bool MayHaveRun, std::string const &Reason) {
  if (MayHaveRun) {
    ++Runs_;
    IsEndDoubtful_ |= IsEndUnconfirmed_;
  }
  // An instance that refused has put no load on a server.
  bool const IsFreeRetry = isThroughPeer() && !MayHaveRun && !HasBegunStream_;
  retryOrFail(IsFreeRetry ? hasTimeAndAttempts() : mayRetry(MayHaveRun),
              Reason);
}

void ExchangeFlow::cancelAttempt(std::string const &Reason) {
  Actions_.push_back(CancelAttempt{Reason});
  endAttempt(true, Reason);
}

void ExchangeFlow::retryOrFail(bool MayRetry, std::string const &Reason) {
  // Clearing would keep its memory while the request waits for a server.
  std::string().swap(Body_);
  if (!MayRetry)
    return fail(Reason);
  State_ = State::Waiting;
  Actions_.push_back(RequestServer{Tried_, Origin_});
}

std::uint32_t ExchangeFlow::maxRuns() const {
  // The instance that passed the request on counts this as one run.
  if (Context_.Metadata_.Peer_.Support_ == PeerFieldSupport::Full)
    return 1;
  return std::max(Context_.Route_->MaxAttempts_, 1U);
}

bool ExchangeFlow::hasTimeAndAttempts() const {
  return Sent_ < MaxSends && Context_.Expiry_ - Now_ >= MinTimeForRetry;
}

bool ExchangeFlow::mayRetry(bool MayHaveRun) {
  if (MayHaveRun && Context_.Route_->Repeatability_ == Repeatability::Never)
    return false;
  bool const CanResume =
      Context_.Route_->Repeatability_ == Repeatability::Resumable &&
      LastEventId_.has_value();
  if (HasBegunStream_ && !CanResume)
    return false;
  // Which software version began the stream is not known here.
  if (HasBegunStream_ && !Origin_)
    return false;
  if (Runs_ >= maxRuns() || !hasTimeAndAttempts())
    return false;
  IsBudgetSpent_ = !RetryGate_.tryTake(Context_.Service_, Now_);
  return !IsBudgetSpent_;
}

void ExchangeFlow::fail(std::string const &Reason) {
  // No other server could be asked whether the stream was whole.
  if (IsEndUnconfirmed_ && !IsEndDoubtful_)
    return endUnconfirmed();
  State_ = State::Over;
  if (HasBegunStream_)
    Actions_.push_back(AbortStream{Reason});
  else if (LastFailure_)
    Actions_.push_back(*LastFailure_);
  else if (Runs_ > 0)
    Actions_.push_back(Refuse{BadGateway, Reason, std::nullopt});
  else
    Actions_.push_back(Refuse{ServiceUnavailable, Reason, RetryAfterRefusals});
}

void ExchangeFlow::refuse(std::int32_t Status, std::string const &Reason,
                          std::optional<Duration> RetryAfter) {
  State_ = State::Over;
  Actions_.push_back(Refuse{Status, Reason, RetryAfter});
}

void ExchangeFlow::on(ClientLeft const & /*Event*/) {
  if (State_ == State::Attempting)
    Actions_.push_back(CancelAttempt{{}});
  else
    Actions_.push_back(CancelServerRequest{});
  State_ = State::Over;
}

void ExchangeFlow::on(TimePassed const & /*Event*/) {
  if (Now_ < Context_.Expiry_)
    return;
  bool const IsAttempting = State_ == State::Attempting;
  IsEndDoubtful_ |= IsAttempting && IsEndUnconfirmed_;
  if (IsAttempting)
    Actions_.push_back(CancelAttempt{{}});
  else
    Actions_.push_back(CancelServerRequest{});
  if (HasBegunStream_)
    return fail("the time allowed is over");
  if (!IsAttempting && Runs_ == 0)
    return refuse(ServiceUnavailable, "no server in the time allowed",
                  RetryAfterRefusals);
  refuse(GatewayTimeout, "no answer in the time allowed", std::nullopt);
}

} // namespace laburnum
