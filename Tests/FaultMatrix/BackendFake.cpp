#include <FaultMatrix/BackendFake.h>

#include <utility>

namespace laburnum::faults {

namespace {

/// Delay of a duplicate of a message.
constexpr Duration DuplicateDelay = std::chrono::milliseconds(7);
constexpr Duration CrashDelay = std::chrono::milliseconds(2);
/// The offset of the token that an engine skips.
constexpr std::uint32_t SkippedOffset = 4;

} // namespace

std::string tokenText(std::string const &Prompt, std::uint32_t Offset) {
  return Prompt + "#" + std::to_string(Offset) + ";";
}

std::string answerText(std::string const &Key) { return "answer to " + Key; }

void BackendFake::startPlain(AttemptOwner const &Owner,
                             flow::StartPlainAttempt const &Start) {
  auto const ActiveAttempt = std::make_shared<Attempt>();
  ActiveAttempt->Owner_ = Owner;
  ActiveAttempt->Server_ = Start.Server_.Id_;
  connect(ActiveAttempt);
}

void BackendFake::startCompletion(AttemptOwner const &Owner,
                                  flow::StartCompletionAttempt const &Start) {
  auto const ActiveAttempt = std::make_shared<Attempt>();
  ActiveAttempt->Owner_ = Owner;
  ActiveAttempt->Server_ = Start.Server_.Id_;
  ActiveAttempt->Kind_ = ServiceKind::Model;
  ActiveAttempt->Call_ = Start.Call_;
  connect(ActiveAttempt);
}

std::vector<ServerId> BackendFake::serversIn(DataCentre const &Location) const {
  std::vector<ServerId> Found;
  for (auto const &[Id, State] : Servers_)
    if (State.Server_.DataCentre_ == Location)
      Found.push_back(Id);
  return Found;
}

void BackendFake::stop(ServerId const &Id) {
  Servers_.at(Id).IsUp_ = false;
  ++Servers_.at(Id).Epoch_;
}

void BackendFake::cancel(AttemptOwner const &Owner) {
  auto const Found = Attempts_.find(Owner);
  if (Found != Attempts_.end())
    Found->second->IsCancelled_ = true;
}

void BackendFake::deliver(AttemptPtr const &ActiveAttempt,
                          flow::Event const &Event) {
  auto const DeliverEvent = [=, this] {
    Hooks_.Deliver_(ActiveAttempt->Owner_, ActiveAttempt->Server_, Event);
  };
  Queue_.after(MessageLatency, DeliverEvent);
  if (IsDuplicating_)
    Queue_.after(DuplicateDelay, DeliverEvent);
}

void BackendFake::reportStep(Step Reached, AttemptPtr const &ActiveAttempt) {
  Hooks_.OnStep_(Reached, {ActiveAttempt->Owner_.Instance_,
                           ActiveAttempt->Server_, ActiveAttempt->Owner_.Key_});
}

bool BackendFake::isBroken(AttemptPtr const &ActiveAttempt,
                           AttemptProgress At) {
  auto const &Server = Servers_.at(ActiveAttempt->Server_);
  auto const Broken = Breaks_.find(ActiveAttempt->Owner_.Key_);
  if (Broken != Breaks_.end() && Broken->second == At) {
    Breaks_.erase(Broken);
    return true;
  }
  return !Server.IsUp_ || Server.Epoch_ != ActiveAttempt->Epoch_ ||
         Hooks_.IsCut_(ActiveAttempt->Owner_.Instance_,
                       Server.Server_.DataCentre_);
}

void BackendFake::end(AttemptPtr const &ActiveAttempt, AttemptEnd EndKind) {
  if (std::exchange(ActiveAttempt->IsOver_, true))
    return;
  Attempts_.erase(ActiveAttempt->Owner_);
  AttemptEvidence Evidence{ActiveAttempt->Progress_, EndKind, 0, ""};
  if (ActiveAttempt->Progress_ >= AttemptProgress::AnswerBegun)
    Evidence.Status_ = 200;
  if (EndKind == AttemptEnd::ConnectionFailed &&
      ActiveMutants_.contains(Mutant::UnderstatedEvidence))
    Evidence = {AttemptProgress::NotConnected, EndKind, 0, ""};
  if (ActiveAttempt->Kind_ == ServiceKind::Model)
    return deliver(ActiveAttempt,
                   flow::CompletionAttemptEnded{ActiveAttempt->Owner_.Attempt_,
                                                {Evidence, 0, {}}});
  PlainResult Result{Evidence, {}, {}, {}};
  if (EndKind == AttemptEnd::Answered)
    Result.Answer_ = {200, "text/plain",
                      answerText(ActiveAttempt->Owner_.Key_)};
  deliver(ActiveAttempt, flow::PlainAttemptEnded{ActiveAttempt->Owner_.Attempt_,
                                                 std::move(Result)});
}

void BackendFake::connect(AttemptPtr const &ActiveAttempt) {
  ActiveAttempt->Epoch_ = Servers_.at(ActiveAttempt->Server_).Epoch_;
  Attempts_[ActiveAttempt->Owner_] = ActiveAttempt;
  reportStep(Step::Connecting, ActiveAttempt);
  if (ActiveAttempt->Owner_.Attempt_ > 1)
    reportStep(Step::SecondAttempt, ActiveAttempt);
  Queue_.after(MessageLatency, [=, this] {
    if (!isBroken(ActiveAttempt, AttemptProgress::NotConnected))
      return send(ActiveAttempt);
    if (ActiveMutants_.contains(Mutant::UnderstatedEvidence))
      Oracle_.ran(ActiveAttempt->Owner_.Key_, ActiveAttempt->Owner_.Request_);
    end(ActiveAttempt, AttemptEnd::ConnectionFailed);
  });
}

void BackendFake::send(AttemptPtr const &ActiveAttempt) {
  ActiveAttempt->Progress_ = AttemptProgress::RequestSent;
  reportStep(Step::RequestSent, ActiveAttempt);
  Queue_.after(MessageLatency, [=, this] { arrive(ActiveAttempt); });
}

void BackendFake::arrive(AttemptPtr const &ActiveAttempt) {
  // A partition at this time can lose the request or its answer; here it loses
  // the request.
  if (isBroken(ActiveAttempt, AttemptProgress::Connected))
    return end(ActiveAttempt, AttemptEnd::ConnectionFailed);
  Hooks_.OnWork_(ActiveAttempt->Server_, ActiveAttempt->Owner_);
  bool const IsRefused = Refusals_.erase(ActiveAttempt->Owner_.Key_) > 0 ||
                         Servers_.at(ActiveAttempt->Server_).IsRefusing_;
  if (!IsRefused)
    return work(ActiveAttempt);
  if (ActiveMutants_.contains(Mutant::RefuseAfterWork))
    Oracle_.ran(ActiveAttempt->Owner_.Key_, ActiveAttempt->Owner_.Request_);
  end(ActiveAttempt, AttemptEnd::Refused);
}

void BackendFake::work(AttemptPtr const &ActiveAttempt) {
  if (ActiveAttempt->Owner_.Key_.starts_with("crash"))
    Queue_.after(CrashDelay,
                 [this, Id = ActiveAttempt->Server_] { Hooks_.OnCrash_(Id); });
  if (ActiveAttempt->Kind_ == ServiceKind::Model) {
    reportStep(Step::FirstTokenDue, ActiveAttempt);
    auto const First = EngineFaults_.IgnoresResumeOffset_
                           ? 0
                           : ActiveAttempt->Call_.ResumeFrom_;
    return Queue_.after(TokenTime,
                        [=, this] { produce(ActiveAttempt, First); });
  }
  Oracle_.ran(ActiveAttempt->Owner_.Key_, ActiveAttempt->Owner_.Request_);
  reportStep(Step::Running, ActiveAttempt);
  Queue_.after(WorkTime, [=, this] { beginAnswer(ActiveAttempt); });
}

void BackendFake::beginAnswer(AttemptPtr const &ActiveAttempt) {
  if (isBroken(ActiveAttempt, AttemptProgress::RequestSent))
    return end(ActiveAttempt, AttemptEnd::ConnectionFailed);
  ActiveAttempt->Progress_ = AttemptProgress::AnswerBegun;
  reportStep(Step::AnswerBegun, ActiveAttempt);
  Queue_.after(MessageLatency, [=, this] {
    if (isBroken(ActiveAttempt, AttemptProgress::AnswerBegun))
      return end(ActiveAttempt, AttemptEnd::ConnectionFailed);
    ActiveAttempt->Progress_ = AttemptProgress::AnswerWhole;
    end(ActiveAttempt, AttemptEnd::Answered);
  });
}

void BackendFake::produce(AttemptPtr const &ActiveAttempt,
                          std::uint32_t Offset) {
  if (isBroken(ActiveAttempt, AttemptProgress::AnswerBegun))
    return end(ActiveAttempt, AttemptEnd::ConnectionFailed);
  if (ActiveAttempt->IsCancelled_ && !EngineFaults_.ContinuesAfterCancel_)
    return end(ActiveAttempt, AttemptEnd::Cancelled);
  ActiveAttempt->Progress_ = AttemptProgress::AnswerBegun;
  auto const Last = ActiveAttempt->Call_.MaxTokens_;
  if (Offset >= Last) {
    ActiveAttempt->Progress_ = AttemptProgress::AnswerWhole;
    return end(ActiveAttempt, AttemptEnd::Answered);
  }
  // A missing last token can't be distinguished from an early end.
  bool const IsSkipped = EngineFaults_.TokensToSkip_ > 0 &&
                         Offset == SkippedOffset && Offset + 1 < Last;
  if (IsSkipped)
    --EngineFaults_.TokensToSkip_;
  else
    sendPiece(ActiveAttempt, Offset);
  if (Offset + 1 == Last)
    reportStep(Step::LastToken, ActiveAttempt);
  else if (Offset == Last / 2)
    reportStep(Step::MidStream, ActiveAttempt);
  Queue_.after(TokenTime, [=, this] { produce(ActiveAttempt, Offset + 1); });
}

void BackendFake::sendPiece(AttemptPtr const &ActiveAttempt,
                            std::uint32_t Offset) {
  auto const Text = ActiveAttempt->IsCancelled_
                        ? "wrong;"
                        : tokenText(ActiveAttempt->Call_.Prompt_, Offset);
  flow::PieceReceived const Piece{
      {ActiveAttempt->Owner_.Attempt_, Offset, Text}};
  deliver(ActiveAttempt, Piece);
  if (EngineFaults_.DuplicatesPieces_)
    deliver(ActiveAttempt, Piece);
}

} // namespace laburnum::faults
