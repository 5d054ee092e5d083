#include "StreamOriginDirectory.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

/// Bounds the memory of the servers that were logged once.
constexpr std::size_t MaxLoggedServers = 1000;

} // namespace

void StreamOriginDirectory::find(exchange::FlowContext const &FlowContext,
                                 Done Done) {
  auto const &First = FlowContext.Metadata_.FirstAttemptId_;
  // The instance that passes the request on knows what began its stream.
  if (auto const &Stated = FlowContext.Metadata_.Peer_.Origin_)
    return onAnswer(FlowContext, {Stated, OriginSource::Record}, "peer", Done);
  if (auto const Known = Origins_.find(First, readBootClock()))
    return onAnswer(FlowContext, {Known, OriginSource::Record}, "local", Done);
  Finder_(
      {FlowContext.Service_, FlowContext.Target_.Host_,
       FlowContext.Target_.Path_, First},
      [this, FlowContext, Done = std::move(Done)](OriginAnswer const &Answer) {
        asio::post(Context_, [this, FlowContext, Done, Answer] {
          onAnswer(FlowContext, Answer, toString(Answer.Source_), Done);
        });
      });
}

void StreamOriginDirectory::onBegun(BegunStream const &Stream) {
  auto const Now = readBootClock();
  Origins_.onBegun(Stream, Now);
  if (Listener_)
    Listener_(Origins_.unfinished(Now));
}

void StreamOriginDirectory::onUnidentified(ServerRecord const &Server) {
  auto const Incarnation = incarnationOf(Server);
  if (LoggedUnidentified_.size() >= MaxLoggedServers)
    LoggedUnidentified_.clear();
  if (LoggedUnidentified_.insert(Incarnation).second)
    Log_.write(LogLine("server_unidentified")
                   .add("server", Server.Id_.text())
                   .add("born", Server.IncarnationStartMilliseconds_)
                   .add("software", Server.SoftwareVersion_)
                   .add("outcome", "its streams do not go on"));
  if (UnidentifiedListener_)
    UnidentifiedListener_(Incarnation);
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
