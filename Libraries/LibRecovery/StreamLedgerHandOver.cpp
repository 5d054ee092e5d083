#include <LibRecovery/StreamLedger.h>

#include <utility>

/// How the ledger gives streams away and keeps their checkpoints elsewhere.
namespace laburnum {

using namespace streams;

namespace {

/// The part of a stop's time, as one in so many, that is left for giving away
/// the streams that did not finish.
constexpr int ReserveDivisor = 4;
/// Until this part of the time is over, a stream without a token is waited for.
constexpr int FirstTokenDivisor = 2;

std::uint64_t bytesOf(StreamCheckpoint const &Part) {
  std::uint64_t Bytes = Part.Content_.Prompt_.size();
  for (auto const &Token : Part.Tokens_)
    Bytes += Token.size();
  return Bytes;
}

} // namespace

void StreamLedger::beginHandOver(StreamName const &Name, OwnedStream &Owned,
                                 EntryInstance const &To,
                                 std::uint64_t Ticket) {
  bool const IsRunning = Owned.isRunning();
  auto const &Keeper = Owned.Checkpoint_.Keeper_;
  HandOver New;
  New.To_ = To;
  New.Ticket_ = Ticket;
  New.Epoch_ = Owned.Stream_.Epoch_.next(To.Id_);
  New.From_ = Keeper && Keeper->Id_ == To.Id_ ? Owned.Checkpoint_.Kept_ : 0;
  New.Began_ = Now_;
  Owned.HandOver_ = std::move(New);
  if (IsRunning)
    Out_.push_back(CloseStream{Name, Owned.Stream_.count()});
  else
    sendHandOver(Name, Owned);
}

void StreamLedger::sendHandOver(StreamName const &Name, OwnedStream &Owned) {
  auto &Pending = *Owned.HandOver_;
  Pending.SentAt_ = Now_;
  auto Part = Owned.Stream_.part(Name, Settings_.Self_, Pending.From_,
                                 Settings_.TokensPerMessage_, Now_);
  Part.Epoch_ = Pending.Epoch_.at(Now_);
  Out_.push_back(SendToPeer{Pending.To_.Peers_,
                            StreamHandOver{std::move(Part), Pending.Ticket_}});
}

/// The tokens stay here as a checkpoint of the new owner's stream.
void StreamLedger::endHandOver(StreamName const &Name, OwnedStream &Owned) {
  ++Counts_.HandedOver_;
  Checkpoint Kept;
  Kept.Stream_ = std::move(Owned.Stream_);
  Kept.Stream_.Epoch_ = Owned.HandOver_->Epoch_;
  Kept.Owner_ = Owned.HandOver_->To_;
  Kept.Renewed_ = Now_;
  Shelf_.keep(Name, std::move(Kept));
  Owned_.erase(Name);
  Out_.push_back(TellMoved{Name});
  Out_.push_back(ForgetStream{Name});
}

void StreamLedger::dropSuperseded(StreamName const &Name) {
  Owned_.erase(Name);
  Out_.push_back(CloseStream{Name, 0});
  Out_.push_back(TellSuperseded{Name});
  Out_.push_back(ForgetStream{Name});
}

void StreamLedger::retryHandOver(StreamName const &Name, OwnedStream &Owned) {
  if (!Owned.HandOver_)
    return;
  auto const &Pending = *Owned.HandOver_;
  if (!Places_.mayAnswer(Pending.To_.Id_) ||
      Now_ >= Pending.Began_ + Settings_.HandOverPatience_)
    return GoneAt_ ? chooseNextReceiver(Name, Owned) : takeBack(Name, Owned);
  if (Now_ >= Pending.SentAt_ + Settings_.HandOverRetry_)
    sendHandOver(Name, Owned);
}

/// A receiver that took the stream over and whose answer was lost is told that
/// it is to stop.
void StreamLedger::chooseNextReceiver(StreamName const &Name,
                                      OwnedStream &Owned) {
  auto &Pending = *Owned.HandOver_;
  auto const Former = Pending.To_;
  Pending.Tried_.insert(Former.Id_);
  auto Next = Places_.keeperOf(Name, Pending.Tried_);
  if (!Next) {
    Pending.Tried_.clear();
    Next = Places_.keeperOf(Name, {});
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

/// Nobody received it, and this instance stays.
void StreamLedger::takeBack(StreamName const &Name, OwnedStream &Owned) {
  auto const Former = Owned.HandOver_->To_;
  auto Again = std::move(Owned.Stream_);
  Again.Epoch_ = Owned.HandOver_->Epoch_.next(Settings_.Self_.Id_);
  reply(Former.Peers_, Name, 0, StreamKnowledge::Moved, Again.Epoch_,
        Settings_.Self_, 0);
  begin(Name, std::move(Again), std::nullopt, 0);
}

/// While this instance is leaving: a stream goes to a peer as soon as it is not
/// expected to end here in time.
void StreamLedger::giveAwayIfLate(StreamName const &Name, OwnedStream &Owned) {
  if (!GoneAt_ || Owned.HandOver_ || Owned.IsDelivered_ || isEndKept(Owned))
    return;
  auto const Reserve = LeavingWithin_ / ReserveDivisor;
  auto const Left = *GoneAt_ - Now_;
  auto const Expected = Owned.expectedRemaining(Now_);
  bool const IsLate =
      Expected ? *Expected + Reserve > Left
               : Left <= std::max(Reserve, LeavingWithin_ / FirstTokenDivisor);
  if (Owned.isRunning() && !IsLate)
    return;
  if (auto const To = Places_.keeperOf(Name, {}))
    beginHandOver(Name, Owned, *To, 0);
}

std::size_t StreamLedger::streamsAtRisk() const {
  std::size_t Count = 0;
  for (auto const &[Name, Owned] : Owned_)
    Count += Owned.HandOver_ || (!Owned.IsDelivered_ && !isEndKept(Owned));
  return Count;
}

bool StreamLedger::isEndKept(OwnedStream const &Owned) const {
  return Owned.Stream_.Phase_ != StreamPhase::Running &&
         Owned.Checkpoint_.IsEndSent_ &&
         Owned.Checkpoint_.Kept_ == Owned.Stream_.count();
}

bool StreamLedger::isCheckpointDue(OwnedStream const &Owned) const {
  auto const &Sending = Owned.Checkpoint_;
  if (Sending.SentAt_ == TimePoint{})
    return true;
  if (Now_ < Sending.SentAt_ + Settings_.CheckpointPeriod_)
    return false;
  if (Owned.Stream_.Phase_ != StreamPhase::Running)
    return !isEndKept(Owned);
  return Owned.Stream_.count() >= Sending.Sent_ + Settings_.CheckpointTokens_ ||
         Sending.Kept_ < Sending.Sent_;
}

void StreamLedger::keepCheckpoint(StreamName const &Name, OwnedStream &Owned) {
  if (Owned.Stream_.Content_.MaxTokens_ < Settings_.LeastCheckpointed_ ||
      Owned.HandOver_ || Owned.IsDelivered_)
    return;
  auto &Sending = Owned.Checkpoint_;
  if (!Sending.Keeper_ || !Places_.isLive(Sending.Keeper_->Id_)) {
    Sending = {};
    Sending.Keeper_ = Places_.keeperOf(Name, {});
  }
  if (Sending.Keeper_ && isCheckpointDue(Owned))
    sendCheckpoint(Name, Owned);
}

void StreamLedger::sendCheckpoint(StreamName const &Name, OwnedStream &Owned) {
  auto &Sending = Owned.Checkpoint_;
  auto Part = Owned.Stream_.part(Name, Settings_.Self_, Sending.Kept_,
                                 Settings_.TokensPerMessage_, Now_);
  Sending.Sent_ = Part.From_ + static_cast<std::uint32_t>(Part.Tokens_.size());
  Sending.IsEndSent_ = Owned.Stream_.Phase_ != StreamPhase::Running;
  Sending.SentAt_ = Now_;
  Counts_.CheckpointBytes_ += bytesOf(Part);
  Out_.push_back(SendToPeer{Sending.Keeper_->Peers_, std::move(Part)});
}

} // namespace laburnum
