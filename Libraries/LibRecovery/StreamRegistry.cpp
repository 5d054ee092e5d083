#include <LibRecovery/StreamRegistry.h>

#include <LibRecovery/StreamFailures.h>

#include <algorithm>
#include <utility>

namespace laburnum {

using namespace streams;

StreamRegistry::StreamRegistry(streams::Settings Given)
    : Settings_(std::move(Given)), Placement_(Settings_.Self_) {}

std::vector<Action> StreamRegistry::handle(Event const &Event, TimePoint Now) {
  Now_ = Now;
  std::visit([this](auto const &Each) { on(Each); }, Event);
  return std::exchange(Out_, {});
}

StreamRegistry::OwnedStream *StreamRegistry::owned(StreamName const &Name) {
  auto const Found = Owned_.find(Name);
  return Found == Owned_.end() ? nullptr : &Found->second;
}

StreamRegistry::OwnedStream *StreamRegistry::running(StreamName const &Name,
                                                     StreamEpoch const &Epoch) {
  auto *Owned = owned(Name);
  bool const IsRunning =
      Owned && Owned->isRunning() &&
      Owned->Stream_.Epoch_.isSame(streams::Epoch::from(Epoch, Now_));
  return IsRunning ? Owned : nullptr;
}

void StreamRegistry::on(StreamRequested const &Event) {
  if (auto *Owned = owned(Event.Name_))
    return serve(Event, *Owned);
  if (Event.Naming_ == Naming::ByCaller)
    return search(Event, std::nullopt);
  if (Event.From_ > 0)
    return refuse(Event.Ticket_, streams::detail::keyMissing());
  startAnew(Event);
}

void StreamRegistry::serve(StreamRequested const &Request, OwnedStream &Owned) {
  auto &Stream = Owned.Stream_;
  if (Stream.Content_.Fingerprint_ != Request.Content_.Fingerprint_)
    return refuse(Request.Ticket_, streams::detail::keyReused());
  if (Owned.HandOver_)
    return search(Request, Owned.HandOver_->To_);
  if (Stream.Phase_ != StreamPhase::Stopped) {
    ++Counts_.Resumed_;
    Out_.push_back(AttachReader{Request.Ticket_, Request.Name_, Request.From_});
    return;
  }
  if (!Stream.isConsistentWith(Request))
    return refuse(Request.Ticket_, streams::detail::offsetUnknown());
  ++Counts_.Resumed_;
  auto Resumed = std::move(Stream);
  Resumed.Epoch_ = Resumed.Epoch_.next(Settings_.Self_.Id_);
  Resumed.Deadline_ = Now_ + Request.Content_.Remaining_;
  begin(Request.Name_, std::move(Resumed), Request.Ticket_, Request.From_);
}

void StreamRegistry::search(StreamRequested const &Request,
                            std::optional<EntryInstance> const &Owner) {
  auto const *Local = Checkpoints_.find(Request.Name_);
  if (Local &&
      Local->Stream_.Content_.Fingerprint_ != Request.Content_.Fingerprint_)
    return refuse(Request.Ticket_, streams::detail::keyReused());
  auto &Search =
      Searches_.try_emplace(Request.Ticket_, Settings_, Request).first->second;
  finishSearch(Request.Ticket_,
               Search.start(Placement_, Local, Owner, Now_, Out_));
}

void StreamRegistry::finishSearch(
    Ticket Ticket, std::optional<StreamSearch::Outcome> const &Outcome) {
  if (!Outcome)
    return;
  auto const Request = Searches_.at(Ticket).request();
  Searches_.erase(Ticket);
  if (std::holds_alternative<StreamSearch::TokensLost>(*Outcome))
    return refuse(Ticket, streams::detail::offsetUnknown());
  if (std::holds_alternative<StreamSearch::NoAnswer>(*Outcome))
    return refuse(Ticket, streams::detail::ownerSilent());
  auto const *Local = Checkpoints_.find(Request.Name_);
  if (Local &&
      std::holds_alternative<StreamSearch::UseLocalCheckpoint>(*Outcome)) {
    auto const NewEpoch = Local->Stream_.Epoch_.next(Settings_.Self_.Id_);
    reply(Local->Owner_.Peers_, Request.Name_, 0, StreamKnowledge::Moved,
          NewEpoch, Settings_.Self_, 0);
    return resumeFromCheckpoint(Request.Name_, NewEpoch, Request);
  }
  onStreamNotFound(Request);
}

/// Another caller with the same key may have started the stream in the
/// meantime.
void StreamRegistry::onStreamNotFound(StreamRequested const &Request) {
  if (auto *Owned = owned(Request.Name_); Owned && !Owned->HandOver_)
    return serve(Request, *Owned);
  if (Request.From_ > 0)
    return refuse(Request.Ticket_, streams::detail::streamUnknown());
  startAnew(Request);
}

void StreamRegistry::startAnew(StreamRequested const &Request) {
  Checkpoints_.erase(Request.Name_);
  RetainedStream New;
  New.Epoch_ = {Request.Run_, 1, Settings_.Self_.Id_, Now_};
  New.Content_ = Request.Content_;
  New.Deadline_ = Now_ + Request.Content_.Remaining_;
  begin(Request.Name_, std::move(New), Request.Ticket_, 0);
}

void StreamRegistry::refuse(Ticket Ticket, FailureAnswer Failure) {
  Out_.push_back(RefuseStream{Ticket, std::move(Failure)});
}

void StreamRegistry::resumeFromCheckpoint(
    StreamName const &Name, Epoch const &NewEpoch,
    std::optional<StreamRequested> const &Request) {
  ++Counts_.TakenOver_;
  auto Stream = std::move(Checkpoints_.find(Name)->Stream_);
  Checkpoints_.erase(Name);
  Stream.Epoch_ = NewEpoch;
  if (!Request)
    return begin(Name, std::move(Stream), std::nullopt, 0);
  Stream.Deadline_ = Now_ + Request->Content_.Remaining_;
  if (!Stream.isConsistentWith(*Request)) {
    refuse(Request->Ticket_, streams::detail::offsetUnknown());
    return begin(Name, std::move(Stream), std::nullopt, 0);
  }
  ++Counts_.Resumed_;
  begin(Name, std::move(Stream), Request->Ticket_, Request->From_);
}

void StreamRegistry::begin(StreamName const &Name, RetainedStream Stream,
                           std::optional<Ticket> Ticket, std::uint32_t From) {
  if (Stream.Phase_ == StreamPhase::Stopped)
    Stream.Phase_ = StreamPhase::Running;
  Out_.push_back(StartStream{Ticket, Name, Stream.Epoch_.at(Now_),
                             Stream.contentAt(Now_), Stream.Tokens_, From,
                             Stream.Phase_});
  OwnedStream New;
  New.ResumedAt_ = Stream.count();
  New.Stream_ = std::move(Stream);
  New.Resumed_ = Now_;
  New.Detached_ = Now_;
  New.Ended_ = Now_;
  auto &Owned = Owned_.insert_or_assign(Name, std::move(New)).first->second;
  updateCheckpoint(Name, Owned);
}

void StreamRegistry::on(ReaderAttached const &Event) {
  auto *Owned = owned(Event.Name_);
  if (!Owned || Event.Reader_ < Owned->Reader_)
    return;
  Owned->Reader_ = Event.Reader_;
  Owned->IsAttached_ = true;
}

void StreamRegistry::on(ReaderLeft const &Event) {
  auto *Owned = owned(Event.Name_);
  if (!Owned || Event.Reader_ != Owned->Reader_)
    return;
  Owned->IsAttached_ = false;
  Owned->Detached_ = Now_;
  Owned->IsDelivered_ = Event.Received_ == Received::Complete;
}

void StreamRegistry::on(TokensProduced const &Event) {
  if (auto *Owned = running(Event.Name_, Event.Epoch_))
    Owned->Stream_.append(Event.From_, Event.Tokens_);
}

void StreamRegistry::on(FlowEnded const &Event) {
  auto *Owned = running(Event.Name_, Event.Epoch_);
  if (!Owned)
    return;
  Owned->Stream_.append(Event.From_, Event.Tokens_);
  Owned->Stream_.Phase_ = Event.Phase_;
  Owned->Ended_ = Now_;
}

void StreamRegistry::on(StreamClosed const &Event) {
  auto *Owned = owned(Event.Name_);
  if (!Owned)
    return;
  Owned->Stream_.append(Event.From_, Event.Tokens_);
  if (Owned->HandOver_)
    sendHandOver(Event.Name_, *Owned);
}

void StreamRegistry::on(MembersChanged const &Event) {
  Placement_.setMembers(Event.Members_);
}

void StreamRegistry::on(LocalInstanceLeaving const &Event) {
  auto const Gone = Now_ + Event.Within_;
  if (GoneAt_ && *GoneAt_ <= Gone)
    return;
  GoneAt_ = Gone;
  LeavingWithin_ = Event.Within_;
  on(TimePassed{});
}

void StreamRegistry::on(TimePassed const &) {
  std::vector<Ticket> Tickets;
  for (auto const &[Ticket, Search] : Searches_)
    Tickets.push_back(Ticket);
  for (auto const Ticket : Tickets) {
    auto const Found = Searches_.find(Ticket);
    if (Found != Searches_.end())
      finishSearch(Ticket, Found->second.onTimePassed(Placement_, Now_, Out_));
  }
  std::vector<StreamName> Names;
  for (auto const &[Name, Owned] : Owned_)
    Names.push_back(Name);
  for (auto const &Name : Names) {
    retryHandOver(Name, Owned_.at(Name));
    handOverIfLate(Name, Owned_.at(Name));
    endIfAbandoned(Name, Owned_.at(Name));
    updateCheckpoint(Name, Owned_.at(Name));
  }
  forgetExpired();
}

/// Cancels a stream that has had no caller for DetachedLimit_; its tokens are
/// retained.
void StreamRegistry::endIfAbandoned(StreamName const &Name,
                                    OwnedStream &Owned) {
  if (!Owned.isRunning() || Owned.IsAttached_ ||
      Now_ < Owned.Detached_ + Settings_.DetachedLimit_)
    return;
  Owned.Stream_.Phase_ = StreamPhase::Stopped;
  Owned.Ended_ = Now_;
  Out_.push_back(CloseStream{Name, Owned.Stream_.count()});
}

bool StreamRegistry::isExpired(OwnedStream const &Owned) const {
  return !Owned.HandOver_ && !Owned.IsAttached_ &&
         Owned.Stream_.Phase_ != StreamPhase::Running &&
         Now_ >= Owned.Ended_ + Settings_.Retention_;
}

/// Forgets ended streams after Retention_, and beyond MaxRetainedTokens_ those
/// that ended first.
void StreamRegistry::forgetExpired() {
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
    if (Tokens <= Settings_.MaxRetainedTokens_)
      break;
    Tokens -= Owned_.at(Name).Stream_.Tokens_.size();
    Dropped.push_back(Name);
  }
  for (auto const &Name : Dropped) {
    Out_.push_back(ForgetStream{Name});
    Owned_.erase(Name);
  }
  Checkpoints_.expire(Settings_.Retention_, Settings_.MaxRetainedTokens_, Now_);
}

} // namespace laburnum
