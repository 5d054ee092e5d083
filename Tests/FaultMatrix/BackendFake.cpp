#include <FaultMatrix/BackendFake.h>

#include <utility>

namespace laburnum::faults {

namespace {

/// What a duplicate of a message takes longer than the message.
constexpr Duration DuplicateDelay = std::chrono::milliseconds(7);
constexpr Duration CrashDelay = std::chrono::milliseconds(2);
/// The token that an engine leaves out.
constexpr std::uint32_t SkippedOffset = 4;

} // namespace

std::string tokenText(std::string const &Prompt, std::uint32_t Offset) {
  return Prompt + "#" + std::to_string(Offset) + ";";
}

std::string answerText(std::string const &Key) { return "answer to " + Key; }

void BackendFake::startPlain(AttemptOwner const &Owner,
                             flow::StartPlainAttempt const &Start) {
  auto const One = std::make_shared<Attempt>();
  One->Owner_ = Owner;
  One->Server_ = Start.Server_.Id_;
  connect(One);
}

void BackendFake::startCompletion(AttemptOwner const &Owner,
                                  flow::StartCompletionAttempt const &Start) {
  auto const One = std::make_shared<Attempt>();
  One->Owner_ = Owner;
  One->Server_ = Start.Server_.Id_;
  One->Kind_ = ServiceKind::Model;
  One->Call_ = Start.Call_;
  connect(One);
}

std::vector<ServerId> BackendFake::serversIn(DataCentre const &Where) const {
  std::vector<ServerId> Found;
  for (auto const &[Id, State] : Servers_)
    if (State.Server_.DataCentre_ == Where)
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

void BackendFake::deliver(Open const &One, flow::Event const &Event) {
  auto const Hand = [=, this] {
    Hooks_.Deliver_(One->Owner_, One->Server_, Event);
  };
  Queue_.after(Hop, Hand);
  if (IsDuplicating_)
    Queue_.after(DuplicateDelay, Hand);
}

void BackendFake::tell(Step Reached, Open const &One) {
  Hooks_.OnStep_(Reached,
                 {One->Owner_.Instance_, One->Server_, One->Owner_.Key_});
}

bool BackendFake::isBroken(Open const &One, AttemptProgress At) {
  auto const &Server = Servers_.at(One->Server_);
  auto const Broken = Breaks_.find(One->Owner_.Key_);
  if (Broken != Breaks_.end() && Broken->second == At) {
    Breaks_.erase(Broken);
    return true;
  }
  return !Server.IsUp_ || Server.Epoch_ != One->Epoch_ ||
         Hooks_.IsCut_(One->Owner_.Instance_, Server.Server_.DataCentre_);
}

void BackendFake::end(Open const &One, AttemptEnd How) {
  if (std::exchange(One->IsOver_, true))
    return;
  Attempts_.erase(One->Owner_);
  AttemptEvidence Evidence{One->Progress_, How, 0, ""};
  if (One->Progress_ >= AttemptProgress::AnswerBegun)
    Evidence.Status_ = 200;
  if (How == AttemptEnd::ConnectionFailed &&
      Out_.contains(Mutant::UnderstatedEvidence))
    Evidence = {AttemptProgress::NotConnected, How, 0, ""};
  if (One->Kind_ == ServiceKind::Model)
    return deliver(One, flow::CompletionAttemptEnded{One->Owner_.Attempt_,
                                                     {Evidence, 0, {}}});
  PlainResult Result{Evidence, {}, {}};
  if (How == AttemptEnd::Answered)
    Result.Answer_ = {200, "text/plain", answerText(One->Owner_.Key_)};
  deliver(One,
          flow::PlainAttemptEnded{One->Owner_.Attempt_, std::move(Result)});
}

void BackendFake::connect(Open const &One) {
  One->Epoch_ = Servers_.at(One->Server_).Epoch_;
  Attempts_[One->Owner_] = One;
  tell(Step::Connecting, One);
  if (One->Owner_.Attempt_ > 1)
    tell(Step::SecondAttempt, One);
  Queue_.after(Hop, [=, this] {
    if (!isBroken(One, AttemptProgress::NotConnected))
      return send(One);
    if (Out_.contains(Mutant::UnderstatedEvidence))
      Oracle_.ran(One->Owner_.Key_, One->Owner_.Request_);
    end(One, AttemptEnd::ConnectionFailed);
  });
}

void BackendFake::send(Open const &One) {
  One->Progress_ = AttemptProgress::RequestSent;
  tell(Step::RequestSent, One);
  Queue_.after(Hop, [=, this] { arrive(One); });
}

void BackendFake::arrive(Open const &One) {
  // A cut that comes now loses the request or its answer; the former here.
  if (isBroken(One, AttemptProgress::Connected))
    return end(One, AttemptEnd::ConnectionFailed);
  Hooks_.OnWork_(One->Server_, One->Owner_);
  bool const IsRefused = Refusals_.erase(One->Owner_.Key_) > 0 ||
                         Servers_.at(One->Server_).IsRefusing_;
  if (!IsRefused)
    return work(One);
  if (Out_.contains(Mutant::RefuseAfterWork))
    Oracle_.ran(One->Owner_.Key_, One->Owner_.Request_);
  end(One, AttemptEnd::Refused);
}

void BackendFake::work(Open const &One) {
  if (One->Owner_.Key_.starts_with("crash"))
    Queue_.after(CrashDelay,
                 [this, Id = One->Server_] { Hooks_.OnCrash_(Id); });
  if (One->Kind_ == ServiceKind::Model) {
    tell(Step::FirstTokenDue, One);
    auto const First = Habits_.StartsFromZero_ ? 0 : One->Call_.ResumeFrom_;
    return Queue_.after(TokenTime, [=, this] { produce(One, First); });
  }
  Oracle_.ran(One->Owner_.Key_, One->Owner_.Request_);
  tell(Step::Running, One);
  Queue_.after(WorkTime, [=, this] { beginAnswer(One); });
}

void BackendFake::beginAnswer(Open const &One) {
  if (isBroken(One, AttemptProgress::RequestSent))
    return end(One, AttemptEnd::ConnectionFailed);
  One->Progress_ = AttemptProgress::AnswerBegun;
  tell(Step::AnswerBegun, One);
  Queue_.after(Hop, [=, this] {
    if (isBroken(One, AttemptProgress::AnswerBegun))
      return end(One, AttemptEnd::ConnectionFailed);
    One->Progress_ = AttemptProgress::AnswerWhole;
    end(One, AttemptEnd::Answered);
  });
}

void BackendFake::produce(Open const &One, std::uint32_t Offset) {
  if (isBroken(One, AttemptProgress::AnswerBegun))
    return end(One, AttemptEnd::ConnectionFailed);
  if (One->IsCancelled_ && !Habits_.GoesOnAfterCancel_)
    return end(One, AttemptEnd::Cancelled);
  One->Progress_ = AttemptProgress::AnswerBegun;
  auto const Last = One->Call_.MaxTokens_;
  if (Offset >= Last) {
    One->Progress_ = AttemptProgress::AnswerWhole;
    return end(One, AttemptEnd::Answered);
  }
  // A missing last token could not be told from an early end.
  bool const IsSkipped =
      Habits_.Skips_ > 0 && Offset == SkippedOffset && Offset + 1 < Last;
  if (IsSkipped)
    --Habits_.Skips_;
  else
    sendPiece(One, Offset);
  if (Offset + 1 == Last)
    tell(Step::LastToken, One);
  else if (Offset == Last / 2)
    tell(Step::MidStream, One);
  Queue_.after(TokenTime, [=, this] { produce(One, Offset + 1); });
}

void BackendFake::sendPiece(Open const &One, std::uint32_t Offset) {
  auto const Text =
      One->IsCancelled_ ? "wrong;" : tokenText(One->Call_.Prompt_, Offset);
  flow::PieceReceived const Piece{{One->Owner_.Attempt_, Offset, Text}};
  deliver(One, Piece);
  if (Habits_.SendsTwice_)
    deliver(One, Piece);
}

} // namespace laburnum::faults
