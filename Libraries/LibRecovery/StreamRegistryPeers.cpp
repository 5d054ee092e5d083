#include <LibRecovery/StreamRegistry.h>

#include <LibRecovery/StreamFailures.h>

#include <utility>

/// The StreamRegistry's handling of peers' messages.
namespace laburnum {

using namespace streams;

void StreamRegistry::on(PeerMessageReceived const &Event) {
  std::visit([&](auto const &One) { onMessage(Event.From_, One); },
             Event.Message_);
}

void StreamRegistry::reply(Endpoint const &To, StreamName const &Name,
                           std::uint64_t Ticket, StreamKnowledge Knowledge,
                           Epoch const &Epoch, EntryInstance const &Owner,
                           std::uint32_t Count) {
  Out_.push_back(SendToPeer{
      To, StreamState{Name, Ticket, Knowledge, Epoch.at(Now_), Owner, Count}});
}

void StreamRegistry::onMessage(InstanceId const &,
                               StreamCheckpoint const &Message) {
  auto const Theirs = Epoch::from(Message.Epoch_, Now_);
  auto const &To = Message.Owner_.Peers_;
  if (auto *Owned = owned(Message.Name_)) {
    auto const &Mine = Owned->Stream_.Epoch_;
    if (Owned->HandOver_ && Owned->HandOver_->Epoch_.isSame(Theirs))
      completeHandOver(Message.Name_, *Owned);
    else if (Theirs.supersedes(Mine))
      dropSuperseded(Message.Name_);
    else
      return reply(To, Message.Name_, 0, StreamKnowledge::Moved, Mine,
                   Settings_.Self_, Owned->Stream_.count());
  }
  if (Checkpoints_.store(Message, Now_) ==
      CheckpointStore::StoreResult::Superseded) {
    auto const &Held = *Checkpoints_.find(Message.Name_);
    return reply(To, Message.Name_, 0, StreamKnowledge::Moved,
                 Held.Stream_.Epoch_, Held.Owner_, Held.Stream_.count());
  }
  reply(To, Message.Name_, 0, StreamKnowledge::Held, Theirs, Message.Owner_,
        Checkpoints_.count(Message, Now_));
}

void StreamRegistry::onMessage(InstanceId const &, StreamQuery const &Message) {
  if (auto *Owned = owned(Message.Name_))
    return answerFromOwned(Message, *Owned);
  if (Checkpoints_.find(Message.Name_))
    return answerFromCheckpoint(Message);
  reply(Message.Requester_.Peers_, Message.Name_, Message.Ticket_,
        StreamKnowledge::Unknown, {}, {}, 0);
}

void StreamRegistry::answerFromOwned(StreamQuery const &Asked,
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

void StreamRegistry::answerFromCheckpoint(StreamQuery const &Asked) {
  auto &Held = *Checkpoints_.find(Asked.Name_);
  auto const &To = Asked.Requester_.Peers_;
  auto const &Epoch = Held.Stream_.Epoch_;
  if (Held.Stream_.Content_.Fingerprint_ != Asked.Fingerprint_)
    return reply(To, Asked.Name_, Asked.Ticket_, StreamKnowledge::KeyReused,
                 Epoch, Held.Owner_, 0);
  if (Asked.Mode_ == StreamQueryMode::Find)
    return reply(To, Asked.Name_, Asked.Ticket_, StreamKnowledge::Held, Epoch,
                 Held.Owner_, Held.Stream_.count());
  // From here on the checkpoint is handed over as if by its owner. The owner
  // is notified in case it is still running.
  reply(Held.Owner_.Peers_, Asked.Name_, 0, StreamKnowledge::Moved,
        Epoch.next(Asked.Requester_.Id_), Asked.Requester_, 0);
  OwnedStream Mine;
  Mine.Stream_ = std::move(Held.Stream_);
  Mine.Detached_ = Now_;
  Mine.Ended_ = Now_;
  if (Mine.Stream_.Phase_ == StreamPhase::Running)
    Mine.Stream_.Phase_ = StreamPhase::Stopped;
  Checkpoints_.erase(Asked.Name_);
  auto &Owned =
      Owned_.insert_or_assign(Asked.Name_, std::move(Mine)).first->second;
  beginHandOver(Asked.Name_, Owned, Asked.Requester_, Asked.Ticket_);
}

void StreamRegistry::onMessage(InstanceId const &From,
                               StreamState const &Message) {
  if (Message.Ticket_ != 0)
    return onSearchAnswer(From, Message);
  if (auto *Owned = owned(Message.Name_))
    onOwnedState(From, Message, *Owned);
}

void StreamRegistry::onSearchAnswer(InstanceId const &From,
                                    StreamState const &Message) {
  auto const Found = Searches_.find(Message.Ticket_);
  if (Found == Searches_.end())
    return;
  if (Message.Knowledge_ == StreamKnowledge::KeyReused) {
    Searches_.erase(Found);
    return refuse(Message.Ticket_, streams::detail::keyReused());
  }
  finishSearch(Message.Ticket_,
               Found->second.onAnswer(From, Message, Placement_, Now_, Out_));
}

void StreamRegistry::onOwnedState(InstanceId const &From,
                                  StreamState const &Message,
                                  OwnedStream &Owned) {
  auto const Theirs = Epoch::from(Message.Epoch_, Now_);
  auto &Pending = Owned.HandOver_;
  bool const IsReceiver =
      Pending && Pending->To_.Id_ == From && Pending->Epoch_.isSame(Theirs);
  if (Message.Knowledge_ == StreamKnowledge::Owned && IsReceiver)
    return completeHandOver(Message.Name_, Owned);
  if (Message.Knowledge_ == StreamKnowledge::Held && IsReceiver) {
    Pending->From_ = Message.Count_;
    return sendHandOver(Message.Name_, Owned);
  }
  if (Message.Knowledge_ == StreamKnowledge::Moved &&
      Theirs.supersedes(Pending ? Pending->Epoch_ : Owned.Stream_.Epoch_))
    return dropSuperseded(Message.Name_);
  auto &Sending = Owned.Checkpoint_;
  if (Message.Knowledge_ == StreamKnowledge::Held && Sending.Holder_ &&
      Sending.Holder_->Id_ == From && Theirs.isSame(Owned.Stream_.Epoch_))
    Sending.AcknowledgedTokens_ = Message.Count_;
}

bool StreamRegistry::answerKnownHandOver(StreamHandOver const &Message) {
  auto const &Part = Message.Stream_;
  auto const NewEpoch = Epoch::from(Part.Epoch_, Now_);
  if (NewEpoch.Owner_ != Settings_.Self_.Id_)
    return true;
  auto *Owned = owned(Part.Name_);
  if (!Owned)
    return false;
  auto const &Present =
      Owned->HandOver_ ? Owned->HandOver_->Epoch_ : Owned->Stream_.Epoch_;
  if (NewEpoch.Run_ == Present.Run_ && NewEpoch.supersedes(Present)) {
    dropSuperseded(Part.Name_);
    return false;
  }
  // Either a repeated message, or a hand-over of a run that a newer run here
  // has replaced.
  reply(Part.Owner_.Peers_, Part.Name_, 0, StreamKnowledge::Owned, NewEpoch,
        Settings_.Self_, Owned->Stream_.count());
  auto const Search = Searches_.find(Message.Ticket_);
  if (Search != Searches_.end()) {
    auto const Request = Search->second.request();
    Searches_.erase(Search);
    serve(Request, *Owned);
  }
  return true;
}

void StreamRegistry::onMessage(InstanceId const &From,
                               StreamHandOver const &Message) {
  if (answerKnownHandOver(Message))
    return;
  auto const &Part = Message.Stream_;
  auto const &To = Part.Owner_.Peers_;
  auto const NewEpoch = Epoch::from(Part.Epoch_, Now_);
  if (Checkpoints_.store(Part, Now_) ==
      CheckpointStore::StoreResult::Superseded) {
    auto const &Held = *Checkpoints_.find(Part.Name_);
    return reply(To, Part.Name_, 0, StreamKnowledge::Moved, Held.Stream_.Epoch_,
                 Held.Owner_, Held.Stream_.count());
  }
  auto const Count = Checkpoints_.count(Part, Now_);
  if (Count < Part.Total_ || !Checkpoints_.find(Part.Name_))
    return reply(To, Part.Name_, 0, StreamKnowledge::Held, NewEpoch,
                 Part.Owner_, Count);
  auto const Search = Searches_.find(Message.Ticket_);
  if (Search == Searches_.end() ||
      Search->second.request().Name_ != Part.Name_) {
    resumeFromCheckpoint(Part.Name_, NewEpoch, std::nullopt);
  } else {
    auto const Request = Search->second.request();
    // The sender is a former owner that does not know yet that it was replaced.
    // Without an answer it resumes its stream, and the search continues.
    if (!Checkpoints_.find(Part.Name_)->Stream_.isConsistentWith(Request)) {
      Checkpoints_.erase(Part.Name_);
      return finishSearch(
          Message.Ticket_,
          Search->second.onAnswer(From, {}, Placement_, Now_, Out_));
    }
    Searches_.erase(Search);
    resumeFromCheckpoint(Part.Name_, NewEpoch, Request);
  }
  reply(To, Part.Name_, 0, StreamKnowledge::Owned, NewEpoch, Settings_.Self_,
        Count);
}

} // namespace laburnum
