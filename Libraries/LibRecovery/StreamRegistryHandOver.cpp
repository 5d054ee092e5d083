#include <LibRecovery/StreamRegistry.h>

#include <utility>

/// The StreamRegistry's hand-overs and the checkpoints that it sends to peers.
namespace laburnum {

using namespace streams;

namespace {

/// The last 1/ReserveDivisor of the time before a stop is reserved for handing
/// over the streams that did not finish.
constexpr int ReserveDivisor = 4;
/// A stream that has no token yet is handed over once at most
/// 1/FirstTokenDivisor of the time before a stop remains.
constexpr int FirstTokenDivisor = 2;

std::uint64_t bytesOf(StreamCheckpoint const &Part) {
  std::uint64_t Bytes = Part.Content_.Prompt_.size();
  for (auto const &Token : Part.Tokens_)
    Bytes += Token.size();
  return Bytes;
}

} // namespace

void StreamRegistry::beginHandOver(StreamName const &Name, OwnedStream &Owned,
                                   EntryInstance const &To,
                                   std::uint64_t Ticket) {
  bool const IsRunning = Owned.isRunning();
  auto const &Holder = Owned.Checkpoint_.Holder_;
  HandOver New;
  New.To_ = To;
  New.Ticket_ = Ticket;
  New.Epoch_ = Owned.Stream_.Epoch_.next(To.Id_);
  New.From_ = Holder && Holder->Id_ == To.Id_
                  ? Owned.Checkpoint_.AcknowledgedTokens_
                  : 0;
  New.Began_ = Now_;
  Owned.HandOver_ = std::move(New);
  if (IsRunning)
    Out_.push_back(CloseStream{Name, Owned.Stream_.count()});
  else
    sendHandOver(Name, Owned);
}

void StreamRegistry::sendHandOver(StreamName const &Name, OwnedStream &Owned) {
  auto &Pending = *Owned.HandOver_;
  Pending.SentAt_ = Now_;
  auto Part = Owned.Stream_.part(Name, Settings_.Self_, Pending.From_,
                                 Settings_.TokensPerMessage_, Now_);
  Part.Epoch_ = Pending.Epoch_.at(Now_);
  Out_.push_back(SendToPeer{Pending.To_.Peers_,
                            StreamHandOver{std::move(Part), Pending.Ticket_}});
}

/// The tokens are retained as a checkpoint of the new owner's stream.
void StreamRegistry::completeHandOver(StreamName const &Name,
                                      OwnedStream &Owned) {
  ++Counts_.HandedOver_;
  Checkpoint Retained;
  Retained.Stream_ = std::move(Owned.Stream_);
  Retained.Stream_.Epoch_ = Owned.HandOver_->Epoch_;
  Retained.Owner_ = Owned.HandOver_->To_;
  Retained.Renewed_ = Now_;
  Checkpoints_.keep(Name, std::move(Retained));
  Owned_.erase(Name);
  Out_.push_back(NotifyMoved{Name});
  Out_.push_back(ForgetStream{Name});
}

void StreamRegistry::dropSuperseded(StreamName const &Name) {
  Owned_.erase(Name);
  Out_.push_back(CloseStream{Name, 0});
  Out_.push_back(NotifySuperseded{Name});
  Out_.push_back(ForgetStream{Name});
}

void StreamRegistry::retryHandOver(StreamName const &Name, OwnedStream &Owned) {
  if (!Owned.HandOver_)
    return;
  auto const &Pending = *Owned.HandOver_;
  if (!Placement_.mayAnswer(Pending.To_.Id_) ||
      Now_ >= Pending.Began_ + Settings_.HandOverTimeout_)
    return GoneAt_ ? chooseNextReceiver(Name, Owned)
                   : resumeAfterFailedHandOver(Name, Owned);
  if (Now_ >= Pending.SentAt_ + Settings_.HandOverRetry_)
    sendHandOver(Name, Owned);
}

/// The former receiver may have taken the stream over although its answer was
/// lost, so it is notified that the stream has moved on.
void StreamRegistry::chooseNextReceiver(StreamName const &Name,
                                        OwnedStream &Owned) {
  auto &Pending = *Owned.HandOver_;
  auto const Former = Pending.To_;
  Pending.Tried_.insert(Former.Id_);
  auto Next = Placement_.checkpointHolderOf(Name, Pending.Tried_);
  if (!Next) {
    Pending.Tried_.clear();
    Next = Placement_.checkpointHolderOf(Name, {});
  }
  if (!Next)
    return;
  Pending.To_ = *Next;
  Pending.Ticket_ = 0;
  Pending.Epoch_ = Pending.Epoch_.next(Next->Id_);
  Pending.From_ = 0;
  Pending.Began_ = Now_;
  if (Former.Id_ != Next->Id_)
    reply(Former.Peers_, Name, 0, StreamKnowledge::Moved, Pending.Epoch_, *Next,
          0);
  sendHandOver(Name, Owned);
}

/// No receiver answered, and this instance is not leaving: it resumes the
/// stream.
void StreamRegistry::resumeAfterFailedHandOver(StreamName const &Name,
                                               OwnedStream &Owned) {
  auto const Former = Owned.HandOver_->To_;
  auto Resumed = std::move(Owned.Stream_);
  Resumed.Epoch_ = Owned.HandOver_->Epoch_.next(Settings_.Self_.Id_);
  reply(Former.Peers_, Name, 0, StreamKnowledge::Moved, Resumed.Epoch_,
        Settings_.Self_, 0);
  begin(Name, std::move(Resumed), std::nullopt, 0);
}

/// While this instance is leaving, a stream is handed over as soon as it is not
/// expected to end in time.
void StreamRegistry::handOverIfLate(StreamName const &Name,
                                    OwnedStream &Owned) {
  if (!GoneAt_ || Owned.HandOver_ || Owned.IsDelivered_ ||
      isEndCheckpointed(Owned))
    return;
  auto const Reserve = LeavingWithin_ / ReserveDivisor;
  auto const Left = *GoneAt_ - Now_;
  auto const Expected = Owned.expectedRemaining(Now_);
  bool const IsLate =
      Expected ? *Expected + Reserve > Left
               : Left <= std::max(Reserve, LeavingWithin_ / FirstTokenDivisor);
  if (Owned.isRunning() && !IsLate)
    return;
  if (auto const To = Placement_.checkpointHolderOf(Name, {}))
    beginHandOver(Name, Owned, *To, 0);
}

std::size_t StreamRegistry::streamsAtRisk() const {
  std::size_t Count = 0;
  for (auto const &[Name, Owned] : Owned_)
    Count +=
        Owned.HandOver_ || (!Owned.IsDelivered_ && !isEndCheckpointed(Owned));
  return Count;
}

bool StreamRegistry::isEndCheckpointed(OwnedStream const &Owned) const {
  return Owned.Stream_.Phase_ != StreamPhase::Running &&
         Owned.Checkpoint_.IsEndSent_ &&
         Owned.Checkpoint_.AcknowledgedTokens_ == Owned.Stream_.count();
}

bool StreamRegistry::isCheckpointDue(OwnedStream const &Owned) const {
  auto const &Sending = Owned.Checkpoint_;
  if (Sending.SentAt_ == TimePoint{})
    return true;
  if (Now_ < Sending.SentAt_ + Settings_.CheckpointPeriod_)
    return false;
  if (Owned.Stream_.Phase_ != StreamPhase::Running)
    return !isEndCheckpointed(Owned);
  return Owned.Stream_.count() >=
             Sending.SentTokens_ + Settings_.CheckpointTokens_ ||
         Sending.AcknowledgedTokens_ < Sending.SentTokens_;
}

void StreamRegistry::updateCheckpoint(StreamName const &Name,
                                      OwnedStream &Owned) {
  if (Owned.Stream_.Content_.MaxTokens_ < Settings_.MinCheckpointedTokens_ ||
      Owned.HandOver_ || Owned.IsDelivered_)
    return;
  auto &Sending = Owned.Checkpoint_;
  if (!Sending.Holder_ || !Placement_.isLive(Sending.Holder_->Id_)) {
    Sending = {};
    Sending.Holder_ = Placement_.checkpointHolderOf(Name, {});
  }
  if (Sending.Holder_ && isCheckpointDue(Owned))
    sendCheckpoint(Name, Owned);
}

void StreamRegistry::sendCheckpoint(StreamName const &Name,
                                    OwnedStream &Owned) {
  auto &Sending = Owned.Checkpoint_;
  auto Part =
      Owned.Stream_.part(Name, Settings_.Self_, Sending.AcknowledgedTokens_,
                         Settings_.TokensPerMessage_, Now_);
  Sending.SentTokens_ =
      Part.From_ + static_cast<std::uint32_t>(Part.Tokens_.size());
  Sending.IsEndSent_ = Owned.Stream_.Phase_ != StreamPhase::Running;
  Sending.SentAt_ = Now_;
  Counts_.CheckpointBytes_ += bytesOf(Part);
  Out_.push_back(SendToPeer{Sending.Holder_->Peers_, std::move(Part)});
}

} // namespace laburnum
