#include <LibRecovery/StreamLedger.h>

#include <LibRecovery/StreamFailures.h>

#include <algorithm>
#include <utility>

namespace laburnum {

using namespace streams;

StreamLedger::StreamLedger(streams::Settings Given)
    : Settings_(std::move(Given)), Places_(Settings_.Self_) {}

std::vector<Action> StreamLedger::handle(Event const &Event, TimePoint Now) {
  Now_ = Now;
  std::visit([this](auto const &One) { on(One); }, Event);
  return std::exchange(Out_, {});
}

StreamLedger::OwnedStream *StreamLedger::owned(StreamName const &Name) {
  auto const Found = Owned_.find(Name);
  return Found == Owned_.end() ? nullptr : &Found->second;
}

StreamLedger::OwnedStream *StreamLedger::running(StreamName const &Name,
                                                 StreamEpoch const &Epoch) {
  auto *Owned = owned(Name);
  bool const IsIt =
      Owned && Owned->isRunning() &&
      Owned->Stream_.Epoch_.isSame(streams::Epoch::from(Epoch, Now_));
  return IsIt ? Owned : nullptr;
}

void StreamLedger::on(StreamWanted const &Event) {
  if (auto *Owned = owned(Event.Name_))
    return serve(Event, *Owned);
  if (Event.Naming_ == Naming::ByCaller)
    return search(Event, std::nullopt);
  if (Event.From_ > 0)
    return refuse(Event.Ticket_, streams::detail::keyMissing());
  startAnew(Event);
}

void StreamLedger::serve(StreamWanted const &Wanted, OwnedStream &Owned) {
  auto &Stream = Owned.Stream_;
  if (Stream.Content_.Fingerprint_ != Wanted.Content_.Fingerprint_)
    return refuse(Wanted.Ticket_, streams::detail::keyReused());
  if (Owned.HandOver_)
    return search(Wanted, Owned.HandOver_->To_);
  if (Stream.Phase_ != StreamPhase::Stopped) {
    ++Counts_.Resumed_;
    Out_.push_back(AttachReader{Wanted.Ticket_, Wanted.Name_, Wanted.From_});
    return;
  }
  if (!Stream.continuesFor(Wanted))
    return refuse(Wanted.Ticket_, streams::detail::offsetUnknown());
  ++Counts_.Resumed_;
  auto Again = std::move(Stream);
  Again.Epoch_ = Again.Epoch_.next(Settings_.Self_.Id_);
  Again.Deadline_ = Now_ + Wanted.Content_.Remaining_;
  begin(Wanted.Name_, std::move(Again), Wanted.Ticket_, Wanted.From_);
}

void StreamLedger::search(StreamWanted const &Wanted,
                          std::optional<EntryInstance> const &Owner) {
  auto const *Own = Shelf_.find(Wanted.Name_);
  if (Own && Own->Stream_.Content_.Fingerprint_ != Wanted.Content_.Fingerprint_)
    return refuse(Wanted.Ticket_, streams::detail::keyReused());
  auto &Search =
      Searches_.try_emplace(Wanted.Ticket_, Settings_, Wanted).first->second;
  settle(Wanted.Ticket_, Search.start(Places_, Own, Owner, Now_, Out_));
}

void StreamLedger::settle(Ticket Ticket,
                          std::optional<StreamSearch::Verdict> const &Verdict) {
  if (!Verdict)
    return;
  auto const Wanted = Searches_.at(Ticket).wanted();
  Searches_.erase(Ticket);
  if (std::holds_alternative<StreamSearch::TokensLost>(*Verdict))
    return refuse(Ticket, streams::detail::offsetUnknown());
  if (std::holds_alternative<StreamSearch::NoAnswer>(*Verdict))
    return refuse(Ticket, streams::detail::ownerSilent());
  auto const *Own = Shelf_.find(Wanted.Name_);
  if (Own &&
      std::holds_alternative<StreamSearch::TakeOwnCheckpoint>(*Verdict)) {
    auto const Mine = Own->Stream_.Epoch_.next(Settings_.Self_.Id_);
    reply(Own->Owner_.Peers_, Wanted.Name_, 0, StreamKnowledge::Moved, Mine,
          Settings_.Self_, 0);
    return takeFromShelf(Wanted.Name_, Mine, Wanted);
  }
  settleUnknown(Wanted);
}

/// Another caller with the same key may have been served meanwhile.
void StreamLedger::settleUnknown(StreamWanted const &Wanted) {
  if (auto *Owned = owned(Wanted.Name_); Owned && !Owned->HandOver_)
    return serve(Wanted, *Owned);
  if (Wanted.From_ > 0)
    return refuse(Wanted.Ticket_, streams::detail::streamUnknown());
  startAnew(Wanted);
}

void StreamLedger::startAnew(StreamWanted const &Wanted) {
  Shelf_.erase(Wanted.Name_);
  KeptStream New;
  New.Epoch_ = {Wanted.Run_, 1, Settings_.Self_.Id_, Now_};
  New.Content_ = Wanted.Content_;
  New.Deadline_ = Now_ + Wanted.Content_.Remaining_;
  begin(Wanted.Name_, std::move(New), Wanted.Ticket_, 0);
}

void StreamLedger::refuse(Ticket Ticket, FailureAnswer Failure) {
  Out_.push_back(RefuseStream{Ticket, std::move(Failure)});
}

void StreamLedger::takeFromShelf(StreamName const &Name, Epoch const &Mine,
                                 std::optional<StreamWanted> const &Wanted) {
  ++Counts_.TakenOver_;
  auto Stream = std::move(Shelf_.find(Name)->Stream_);
  Shelf_.erase(Name);
  Stream.Epoch_ = Mine;
  if (!Wanted)
    return begin(Name, std::move(Stream), std::nullopt, 0);
  Stream.Deadline_ = Now_ + Wanted->Content_.Remaining_;
  if (!Stream.continuesFor(*Wanted)) {
    refuse(Wanted->Ticket_, streams::detail::offsetUnknown());
    return begin(Name, std::move(Stream), std::nullopt, 0);
  }
  ++Counts_.Resumed_;
  begin(Name, std::move(Stream), Wanted->Ticket_, Wanted->From_);
}

void StreamLedger::begin(StreamName const &Name, KeptStream Stream,
                         std::optional<Ticket> Ticket, std::uint32_t From) {
  if (Stream.Phase_ == StreamPhase::Stopped)
    Stream.Phase_ = StreamPhase::Running;
  Out_.push_back(StartStream{Ticket, Name, Stream.Epoch_.at(Now_),
                             Stream.contentAt(Now_), Stream.Tokens_, From,
                             Stream.Phase_});
  OwnedStream Mine;
  Mine.ResumedAt_ = Stream.count();
  Mine.Stream_ = std::move(Stream);
  Mine.Resumed_ = Now_;
  Mine.Detached_ = Now_;
  Mine.Ended_ = Now_;
  auto &Owned = Owned_.insert_or_assign(Name, std::move(Mine)).first->second;
  keepCheckpoint(Name, Owned);
}

void StreamLedger::on(ReaderAttached const &Event) {
  auto *Owned = owned(Event.Name_);
  if (!Owned || Event.Reader_ < Owned->Reader_)
    return;
  Owned->Reader_ = Event.Reader_;
  Owned->IsAttached_ = true;
}

void StreamLedger::on(ReaderLeft const &Event) {
  auto *Owned = owned(Event.Name_);
  if (!Owned || Event.Reader_ != Owned->Reader_)
    return;
  Owned->IsAttached_ = false;
  Owned->Detached_ = Now_;
  Owned->IsDelivered_ = Event.Received_ == Received::Complete;
}

void StreamLedger::on(TokensProduced const &Event) {
  if (auto *Owned = running(Event.Name_, Event.Epoch_))
    Owned->Stream_.append(Event.From_, Event.Tokens_);
}

void StreamLedger::on(FlowEnded const &Event) {
  auto *Owned = running(Event.Name_, Event.Epoch_);
  if (!Owned)
    return;
  Owned->Stream_.append(Event.From_, Event.Tokens_);
  Owned->Stream_.Phase_ = Event.Phase_;
  Owned->Ended_ = Now_;
}

void StreamLedger::on(StreamClosed const &Event) {
  auto *Owned = owned(Event.Name_);
  if (!Owned)
    return;
  Owned->Stream_.append(Event.From_, Event.Tokens_);
  if (Owned->HandOver_)
    sendHandOver(Event.Name_, *Owned);
}

void StreamLedger::on(MembersChanged const &Event) {
  Places_.setMembers(Event.Members_);
}

void StreamLedger::on(OwnLeaving const &Event) {
  auto const Gone = Now_ + Event.Within_;
  if (GoneAt_ && *GoneAt_ <= Gone)
    return;
  GoneAt_ = Gone;
  LeavingWithin_ = Event.Within_;
  on(TimePassed{});
}

void StreamLedger::on(TimePassed const &) {
  std::vector<Ticket> Tickets;
  for (auto const &[Ticket, Search] : Searches_)
    Tickets.push_back(Ticket);
  for (auto const Ticket : Tickets) {
    auto const Found = Searches_.find(Ticket);
    if (Found != Searches_.end())
      settle(Ticket, Found->second.passTime(Places_, Now_, Out_));
  }
  std::vector<StreamName> Names;
  for (auto const &[Name, Owned] : Owned_)
    Names.push_back(Name);
  for (auto const &Name : Names) {
    retryHandOver(Name, Owned_.at(Name));
    giveAwayIfLate(Name, Owned_.at(Name));
    endIfAbandoned(Name, Owned_.at(Name));
    keepCheckpoint(Name, Owned_.at(Name));
  }
  forgetExpired();
}

/// A stream that nobody came back for is cancelled; its tokens are kept.
void StreamLedger::endIfAbandoned(StreamName const &Name, OwnedStream &Owned) {
  if (!Owned.isRunning() || Owned.IsAttached_ ||
      Now_ < Owned.Detached_ + Settings_.DetachedLimit_)
    return;
  Owned.Stream_.Phase_ = StreamPhase::Stopped;
  Owned.Ended_ = Now_;
  Out_.push_back(CloseStream{Name, Owned.Stream_.count()});
}

bool StreamLedger::isExpired(OwnedStream const &Owned) const {
  return !Owned.HandOver_ && !Owned.IsAttached_ &&
         Owned.Stream_.Phase_ != StreamPhase::Running &&
         Now_ >= Owned.Ended_ + Settings_.Retention_;
}

/// Ended streams go when their time is over; beyond the bound on tokens the
/// longest ended go first.
void StreamLedger::forgetExpired() {
  std::vector<std::pair<TimePoint, StreamName>> Ended;
  std::size_t Tokens = 0;
  std::vector<StreamName> Dropped;
  for (auto const &[Name, Owned] : Owned_) {
    if (isExpired(Owned))
      Dropped.push_back(Name);
    else if (Owned.Stream_.Phase_ != StreamPhase::Running && !Owned.HandOver_ &&
             !Owned.IsAttached_) {
      Ended.emplace_back(Owned.Ended_, Name);
      Tokens += Owned.Stream_.Tokens_.size();
    }
  }
  std::sort(Ended.begin(), Ended.end());
  for (auto const &[At, Name] : Ended) {
    if (Tokens <= Settings_.MostKeptTokens_)
      break;
    Tokens -= Owned_.at(Name).Stream_.Tokens_.size();
    Dropped.push_back(Name);
  }
  for (auto const &Name : Dropped) {
    Out_.push_back(ForgetStream{Name});
    Owned_.erase(Name);
  }
  Shelf_.expire(Settings_.Retention_, Settings_.MostKeptTokens_, Now_);
}

} // namespace laburnum
