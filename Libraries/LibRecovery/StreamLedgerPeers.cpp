#include <LibRecovery/StreamLedger.h>

#include <LibRecovery/StreamFailures.h>

#include <utility>

/// What the ledger does with peers' messages.
namespace laburnum {

using namespace streams;

void StreamLedger::on(PeerSaid const &Event) {
  std::visit([&](auto const &One) { hear(Event.From_, One); }, Event.Message_);
}

void StreamLedger::reply(Endpoint const &To, StreamName const &Name,
                         std::uint64_t Ticket, StreamKnowledge Knowledge,
                         Epoch const &Epoch, EntryInstance const &Owner,
                         std::uint32_t Count) {
  Out_.push_back(SendToPeer{
      To, StreamState{Name, Ticket, Knowledge, Epoch.at(Now_), Owner, Count}});
}

void StreamLedger::hear(InstanceId const &, StreamCheckpoint const &Told) {
  auto const Theirs = Epoch::from(Told.Epoch_, Now_);
  auto const &To = Told.Owner_.Peers_;
  if (auto *Owned = owned(Told.Name_)) {
    auto const &Mine = Owned->Stream_.Epoch_;
    if (Owned->HandOver_ && Owned->HandOver_->Epoch_.isSame(Theirs))
      endHandOver(Told.Name_, *Owned);
    else if (Theirs.supersedes(Mine))
      dropSuperseded(Told.Name_);
    else
      return reply(To, Told.Name_, 0, StreamKnowledge::Moved, Mine,
                   Settings_.Self_, Owned->Stream_.count());
  }
  if (Shelf_.place(Told, Now_) == CheckpointShelf::Placed::Superseded) {
    auto const &Held = *Shelf_.find(Told.Name_);
    return reply(To, Told.Name_, 0, StreamKnowledge::Moved, Held.Stream_.Epoch_,
                 Held.Owner_, Held.Stream_.count());
  }
  reply(To, Told.Name_, 0, StreamKnowledge::Held, Theirs, Told.Owner_,
        Shelf_.count(Told, Now_));
}

void StreamLedger::hear(InstanceId const &, StreamQuery const &Told) {
  if (auto *Owned = owned(Told.Name_))
    return answerFromOwned(Told, *Owned);
  if (Shelf_.find(Told.Name_))
    return answerFromShelf(Told);
  reply(Told.Requester_.Peers_, Told.Name_, Told.Ticket_,
        StreamKnowledge::Unknown, {}, {}, 0);
}

void StreamLedger::answerFromOwned(StreamQuery const &Asked,
                                   OwnedStream &Owned) {
  auto const &To = Asked.Requester_.Peers_;
  auto const &Stream = Owned.Stream_;
  if (Stream.Content_.Fingerprint_ != Asked.Fingerprint_)
    return reply(To, Asked.Name_, Asked.Ticket_, StreamKnowledge::KeyReused,
                 Stream.Epoch_, Settings_.Self_, 0);
  if (!Owned.HandOver_)
    return beginHandOver(Asked.Name_, Owned, Asked.Requester_, Asked.Ticket_);
  auto &Pending = *Owned.HandOver_;
  if (Pending.To_.Id_ != Asked.Requester_.Id_)
    return reply(To, Asked.Name_, Asked.Ticket_, StreamKnowledge::Moved,
                 Pending.Epoch_, Pending.To_, Stream.count());
  Pending.Ticket_ = Asked.Ticket_;
  sendHandOver(Asked.Name_, Owned);
}

void StreamLedger::answerFromShelf(StreamQuery const &Asked) {
  auto &Held = *Shelf_.find(Asked.Name_);
  auto const &To = Asked.Requester_.Peers_;
  auto const &Epoch = Held.Stream_.Epoch_;
  if (Held.Stream_.Content_.Fingerprint_ != Asked.Fingerprint_)
    return reply(To, Asked.Name_, Asked.Ticket_, StreamKnowledge::KeyReused,
                 Epoch, Held.Owner_, 0);
  if (Asked.Mode_ == StreamQueryMode::Find)
    return reply(To, Asked.Name_, Asked.Ticket_, StreamKnowledge::Held, Epoch,
                 Held.Owner_, Held.Stream_.count());
  // From here on the checkpoint is handed over as if by its owner, which is
  // told, should it live after all.
  reply(Held.Owner_.Peers_, Asked.Name_, 0, StreamKnowledge::Moved,
        Epoch.next(Asked.Requester_.Id_), Asked.Requester_, 0);
  OwnedStream Mine;
  Mine.Stream_ = std::move(Held.Stream_);
  Mine.Detached_ = Now_;
  Mine.Ended_ = Now_;
  if (Mine.Stream_.Phase_ == StreamPhase::Running)
    Mine.Stream_.Phase_ = StreamPhase::Stopped;
  Shelf_.erase(Asked.Name_);
  auto &Owned =
      Owned_.insert_or_assign(Asked.Name_, std::move(Mine)).first->second;
  beginHandOver(Asked.Name_, Owned, Asked.Requester_, Asked.Ticket_);
}

void StreamLedger::hear(InstanceId const &From, StreamState const &Told) {
  if (Told.Ticket_ != 0)
    return hearOfSearch(From, Told);
  if (auto *Owned = owned(Told.Name_))
    hearOfOwned(From, Told, *Owned);
}

void StreamLedger::hearOfSearch(InstanceId const &From,
                                StreamState const &Told) {
  auto const Found = Searches_.find(Told.Ticket_);
  if (Found == Searches_.end())
    return;
  if (Told.Knowledge_ == StreamKnowledge::KeyReused) {
    Searches_.erase(Found);
    return refuse(Told.Ticket_, streams::detail::keyReused());
  }
  settle(Told.Ticket_, Found->second.answered(From, Told, Places_, Now_, Out_));
}

void StreamLedger::hearOfOwned(InstanceId const &From, StreamState const &Told,
                               OwnedStream &Owned) {
  auto const Theirs = Epoch::from(Told.Epoch_, Now_);
  auto &Pending = Owned.HandOver_;
  bool const IsReceiver =
      Pending && Pending->To_.Id_ == From && Pending->Epoch_.isSame(Theirs);
  if (Told.Knowledge_ == StreamKnowledge::Owned && IsReceiver)
    return endHandOver(Told.Name_, Owned);
  if (Told.Knowledge_ == StreamKnowledge::Held && IsReceiver) {
    Pending->From_ = Told.Count_;
    return sendHandOver(Told.Name_, Owned);
  }
  if (Told.Knowledge_ == StreamKnowledge::Moved &&
      Theirs.supersedes(Pending ? Pending->Epoch_ : Owned.Stream_.Epoch_))
    return dropSuperseded(Told.Name_);
  auto &Sending = Owned.Checkpoint_;
  if (Told.Knowledge_ == StreamKnowledge::Held && Sending.Keeper_ &&
      Sending.Keeper_->Id_ == From && Theirs.isSame(Owned.Stream_.Epoch_))
    Sending.Kept_ = Told.Count_;
}

bool StreamLedger::isHandOverKnown(StreamHandOver const &Told) {
  auto const &Part = Told.Stream_;
  auto const Mine = Epoch::from(Part.Epoch_, Now_);
  if (Mine.Owner_ != Settings_.Self_.Id_)
    return true;
  auto *Owned = owned(Part.Name_);
  if (!Owned)
    return false;
  auto const &Present =
      Owned->HandOver_ ? Owned->HandOver_->Epoch_ : Owned->Stream_.Epoch_;
  if (Mine.Run_ == Present.Run_ && Mine.supersedes(Present)) {
    dropSuperseded(Part.Name_);
    return false;
  }
  // A repetition, or of a run that a newer one here has replaced.
  reply(Part.Owner_.Peers_, Part.Name_, 0, StreamKnowledge::Owned, Mine,
        Settings_.Self_, Owned->Stream_.count());
  auto const Search = Searches_.find(Told.Ticket_);
  if (Search != Searches_.end()) {
    auto const Wanted = Search->second.wanted();
    Searches_.erase(Search);
    serve(Wanted, *Owned);
  }
  return true;
}

void StreamLedger::hear(InstanceId const &From, StreamHandOver const &Told) {
  if (isHandOverKnown(Told))
    return;
  auto const &Part = Told.Stream_;
  auto const &To = Part.Owner_.Peers_;
  auto const Mine = Epoch::from(Part.Epoch_, Now_);
  if (Shelf_.place(Part, Now_) == CheckpointShelf::Placed::Superseded) {
    auto const &Held = *Shelf_.find(Part.Name_);
    return reply(To, Part.Name_, 0, StreamKnowledge::Moved, Held.Stream_.Epoch_,
                 Held.Owner_, Held.Stream_.count());
  }
  auto const Count = Shelf_.count(Part, Now_);
  if (Count < Part.Total_ || !Shelf_.find(Part.Name_))
    return reply(To, Part.Name_, 0, StreamKnowledge::Held, Mine, Part.Owner_,
                 Count);
  auto const Search = Searches_.find(Told.Ticket_);
  if (Search == Searches_.end() ||
      Search->second.wanted().Name_ != Part.Name_) {
    takeFromShelf(Part.Name_, Mine, std::nullopt);
  } else {
    auto const Wanted = Search->second.wanted();
    // A former owner that does not know yet that it was replaced: it takes its
    // stream back when no answer comes, and the search goes on.
    if (!Shelf_.find(Part.Name_)->Stream_.continuesFor(Wanted)) {
      Shelf_.erase(Part.Name_);
      return settle(Told.Ticket_,
                    Search->second.answered(From, {}, Places_, Now_, Out_));
    }
    Searches_.erase(Search);
    takeFromShelf(Part.Name_, Mine, Wanted);
  }
  reply(To, Part.Name_, 0, StreamKnowledge::Owned, Mine, Settings_.Self_,
        Count);
}

} // namespace laburnum
