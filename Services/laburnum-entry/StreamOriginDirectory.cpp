#include "StreamOriginDirectory.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

/// Bounds the memory of the servers that were logged once.
constexpr std::size_t MaxLoggedServers = 1000;
/// How long a stream waits for a record that allows it to begin.
constexpr std::chrono::milliseconds MaxRecordWait{500};
/// How long a stream is kept from its client while other instances are told.
constexpr std::chrono::milliseconds MaxHold{100};

} // namespace

void StreamOriginDirectory::find(exchange::FlowContext const &FlowContext,
                                 Done Done) {
  auto const &First = FlowContext.Metadata_.FirstAttemptId_;
  // The instance that passes the request on knows what began its stream.
  if (auto const &Stated = FlowContext.Metadata_.Peer_.Origin_)
    return onAnswer(FlowContext, {Stated, OriginSource::Record}, "peer", Done);
  if (auto const Known = Origins_.find(First, readBootClock()))
    return onAnswer(FlowContext, {Known, OriginSource::Record}, "local", Done);
  // The requests stay on this thread, which alone may destroy them.
  auto const Number = ++LastSearch_;
  Searches_.emplace(Number, Search{FlowContext, std::move(Done)});
  Finder_({FlowContext.Service_, FlowContext.Target_.Host_,
           FlowContext.Target_.Path_, First},
          [this, Number](OriginAnswer const &Answer) {
            asio::post(Context_, [this, Number, Answer] {
              auto const Ended = Searches_.extract(Number);
              if (Ended)
                onAnswer(Ended.mapped().FlowContext_, Answer,
                         toString(Answer.Source_), Ended.mapped().Done_);
            });
          });
}

void StreamOriginDirectory::onBegun(BegunStream const &Stream,
                                    std::shared_ptr<Exchange> const &Client) {
  auto const Now = readBootClock();
  Origins_.onBegun(Stream, Now);
  auto const Number = ++LastHold_;
  Client->holdWrites();
  auto const At =
      Holds_.emplace(Number, Hold{Client, asio::steady_timer(Context_)});
  auto &Timer = At.first->second.Timer_;
  Timer.expires_after(MaxHold);
  Timer.async_wait([this, Number](asio::error_code Failure) {
    if (!Failure)
      resume(Number);
  });
  BegunListener_(Stream, [this, Number] {
    asio::post(Context_, [this, Number] { resume(Number); });
  });
  if (Listener_)
    Listener_(Origins_.unfinished(Now));
}

void StreamOriginDirectory::resume(std::uint64_t Hold) {
  if (auto const Ended = Holds_.extract(Hold))
    Ended.mapped().Client_->resumeWrites();
}

void StreamOriginDirectory::logUnidentified(ServerRecord const &Server) {
  auto const Incarnation = incarnationOf(Server);
  if (LoggedUnidentified_.size() >= MaxLoggedServers)
    LoggedUnidentified_.clear();
  if (LoggedUnidentified_.insert(Incarnation).second)
    Log_.write(LogLine("server_unidentified")
                   .add("server", Server.Id_.text())
                   .add("born", Server.IncarnationStartMilliseconds_)
                   .add("software", Server.SoftwareVersion_)
                   .add("outcome", "its streams do not go on"));
}

void StreamOriginDirectory::setRecorded(RecordedOrigins Recorded) {
  Recorded_ = std::move(Recorded);
  std::vector<RecordDone> Ready;
  std::erase_if(Waits_, [&](auto &Entry) {
    bool const IsRecorded = Entry.second.IsRecorded_();
    if (IsRecorded)
      Ready.push_back(std::move(Entry.second.Done_));
    return IsRecorded;
  });
  for (auto const &Done : Ready)
    Done(RecordState::Recorded);
}

bool StreamOriginDirectory::isMoveRecorded(
    exchange::RequestTarget const &Target) const {
  auto const Host = normalizedHost(Target.Host_);
  return Recorded_.OtherMoves_ == MoveRecord::Complete &&
         std::none_of(Recorded_.UnrecordedMoves_.begin(),
                      Recorded_.UnrecordedMoves_.end(),
                      [&](RouteRegion const &Region) {
                        return Region.Host_ == Host &&
                               Target.Path_.starts_with(Region.PathPrefix_);
                      });
}

void StreamOriginDirectory::awaitMove(exchange::RequestTarget const &Target,
                                      ServiceName const &Service,
                                      RecordDone const &Done) {
  await([this, Target] { return isMoveRecorded(Target); }, Need::Move, Service,
        Done);
}

void StreamOriginDirectory::awaitUnidentified(ServerRecord const &Server,
                                              RecordDone const &Done) {
  logUnidentified(Server);
  await(
      [this, Origin = StreamOrigin{Server.Service_, UnidentifiedVersion}] {
        return Recorded_.Versions_.contains(Origin);
      },
      Need::UnidentifiedServer, Server.Service_, Done);
}

void StreamOriginDirectory::await(std::function<bool()> IsRecorded, Need Need,
                                  ServiceName const &Service, RecordDone Done) {
  // The record of unidentified servers is renewed as long as streams begin.
  bool const IsKnown = IsRecorded();
  if (!IsKnown || Need == Need::UnidentifiedServer)
    NeedListener_(Need, Service);
  if (IsKnown)
    return Done(RecordState::Recorded);
  auto const Number = ++LastWait_;
  auto const At =
      Waits_.emplace(Number, Wait{std::move(IsRecorded), std::move(Done),
                                  asio::steady_timer(Context_)});
  auto &Timer = At.first->second.Timer_;
  Timer.expires_after(MaxRecordWait);
  // A wait that has ended may still have its handler queued.
  Timer.async_wait([this, Number](asio::error_code Failure) {
    auto const Overdue = Failure ? WaitNode() : Waits_.extract(Number);
    if (Overdue)
      Overdue.mapped().Done_(RecordState::Missing);
  });
}

void StreamOriginDirectory::setListener(Listener Listener) {
  Listener_ = std::move(Listener);
  if (Listener_)
    Listener_(Origins_.unfinished(readBootClock()));
}

void StreamOriginDirectory::onAnswer(exchange::FlowContext const &FlowContext,
                                     OriginAnswer const &Answer,
                                     std::string_view Source,
                                     Done const &Done) {
  auto Found = Answer.Origin_;
  std::string Reason = "the stream's software version is not known";
  auto const &Services = FlowContext.Route_->Services_;
  if (Found && std::none_of(Services.begin(), Services.end(),
                            [&](WeightedService const &Service) {
                              return Service.Service_ == Found->Service_;
                            })) {
    Found.reset();
    Reason = "the route no longer leads to the stream's service";
  }
  Log_.write(
      LogLine("stream_taken_up")
          .add("id", FlowContext.Metadata_.AttemptId_)
          .add("first_attempt", FlowContext.Metadata_.FirstAttemptId_)
          .add("outcome", Found ? "goes on" : "refused")
          .add("route", FlowContext.Route_->Name_)
          .add("config", FlowContext.Table_->version())
          .add("service", Found ? Found->Service_.text() : std::string())
          .add("software", Found ? Found->SoftwareVersion_ : std::string())
          .add("source", Source));
  Done({Found, Reason});
}

} // namespace laburnum
