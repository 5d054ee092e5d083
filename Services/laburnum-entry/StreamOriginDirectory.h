#pragma once

#include <LibControl/StreamOriginRecords.h>
#include <LibLog/EventLog.h>
#include <LibTraffic/ExchangeFlow.h>
#include <LibTraffic/StreamOrigins.h>

#include <asio/io_context.hpp>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace laburnum {

/// Finds the origins of streams that clients take up: of those that this
/// instance began by itself, of others through a finder. Runs on the traffic
/// thread.
class StreamOriginDirectory {
public:
  StreamOriginDirectory(asio::io_context &Context, EventLog &Log)
      : Context_(Context), Log_(Log) {}

  /// Finds the origin of a stream that another instance began. Called on the
  /// traffic thread; the answer may come on any thread. To be set before
  /// traffic arrives.
  using Finder =
      std::function<void(StreamTakeUp const &, StreamOriginRecords::Done)>;
  void setFinder(Finder Finder) { Finder_ = std::move(Finder); }
  /// Sets the listener that records the unfinished streams after another one
  /// has begun, or nothing.
  using Listener = std::function<void(std::vector<BegunStream> const &)>;
  void setListener(Listener Listener);

  /// Sets the listener for servers that do not identify themselves, called on
  /// the traffic thread. To be set before traffic arrives.
  using UnidentifiedListener = std::function<void(ServerId const &Incarnation)>;
  void setUnidentifiedListener(UnidentifiedListener Listener) {
    UnidentifiedListener_ = std::move(Listener);
  }
  /// A stream's server does not identify itself.
  void onUnidentified(ServerRecord const &Server);

  using Done = std::function<void(exchange::OriginFound const &)>;
  void find(exchange::FlowContext const &FlowContext, Done Done);
  void onBegun(BegunStream const &Stream);
  void onFinished(std::string const &FirstAttemptId) {
    Origins_.onFinished(FirstAttemptId);
  }

private:
  void onAnswer(exchange::FlowContext const &FlowContext,
                OriginAnswer const &Answer, std::string_view Source,
                Done const &Done);

  asio::io_context &Context_;
  EventLog &Log_;
  StreamOrigins Origins_;
  Finder Finder_;
  Listener Listener_;
  UnidentifiedListener UnidentifiedListener_;
  std::set<ServerId> LoggedUnidentified_; ///< Incarnations.
};

} // namespace laburnum
