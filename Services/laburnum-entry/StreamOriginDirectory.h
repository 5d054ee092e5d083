#pragma once

#include <LibControl/StreamOriginRecords.h>
#include <LibHttp/Exchange.h>
#include <LibLog/EventLog.h>
#include <LibTraffic/ExchangeFlow.h>
#include <LibTraffic/RecordedOrigins.h>
#include <LibTraffic/StreamOrigins.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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

  /// Sets the listener for each stream that begins, called on the traffic
  /// thread. It calls the function, on any thread, once other instances have
  /// been told where the stream began. To be set before traffic arrives.
  using BegunListener =
      std::function<void(BegunStream const &, std::function<void()> Told)>;
  void setBegunListener(BegunListener Listener) {
    BegunListener_ = std::move(Listener);
  }

  /// What a stream that is about to begin waits for.
  enum class Need { Move, UnidentifiedServer };
  /// Sets the listener for streams that wait until the store knows that they
  /// may begin, called on the traffic thread. To be set before traffic arrives.
  using NeedListener = std::function<void(Need, ServiceName const &)>;
  void setNeedListener(NeedListener Listener) {
    NeedListener_ = std::move(Listener);
  }
  /// Sets what the store knows.
  void setRecorded(RecordedOrigins Recorded);

  enum class RecordState { Recorded, Missing };
  using RecordDone = std::function<void(RecordState)>;
  /// Waits a short time until the store knows that requests for the target were
  /// led to another service, if they were.
  void awaitMove(exchange::RequestTarget const &Target,
                 ServiceName const &Service, RecordDone const &Done);
  /// Waits a short time until the store knows that streams of the service may
  /// have begun at a version that is not known, as the server does not identify
  /// itself.
  void awaitUnidentified(ServerRecord const &Server, RecordDone const &Done);

  using Done = std::function<void(exchange::OriginFound const &)>;
  void find(exchange::FlowContext const &FlowContext, Done Done);
  /// Keeps the stream from its client for a short time, until other instances
  /// have been told where it began: nobody else knows if this one ends.
  void onBegun(BegunStream const &Stream,
               std::shared_ptr<Exchange> const &Client);
  void onFinished(std::string const &FirstAttemptId) {
    Origins_.onFinished(FirstAttemptId);
  }

private:
  /// A stream that waits.
  struct Wait {
    std::function<bool()> IsRecorded_;
    RecordDone Done_;
    asio::steady_timer Timer_;
  };

  /// A search for an origin.
  struct Search {
    exchange::FlowContext FlowContext_;
    Done Done_;
  };

  /// A stream that is kept from its client.
  struct Hold {
    std::shared_ptr<Exchange> Client_;
    asio::steady_timer Timer_;
  };

  using WaitNode = std::map<std::uint64_t, Wait>::node_type;

  void await(std::function<bool()> IsRecorded, Need Need,
             ServiceName const &Service, RecordDone Done);
  void resume(std::uint64_t Hold);
  bool isMoveRecorded(exchange::RequestTarget const &Target) const;
  void logUnidentified(ServerRecord const &Server);
  void onAnswer(exchange::FlowContext const &FlowContext,
                OriginAnswer const &Answer, std::string_view Source,
                Done const &Done);

  asio::io_context &Context_;
  EventLog &Log_;
  StreamOrigins Origins_;
  Finder Finder_;
  Listener Listener_;
  BegunListener BegunListener_;
  NeedListener NeedListener_;
  RecordedOrigins Recorded_;
  std::map<std::uint64_t, Wait> Waits_; ///< By age.
  std::uint64_t LastWait_ = 0;
  std::map<std::uint64_t, Search> Searches_; ///< By age.
  std::uint64_t LastSearch_ = 0;
  std::map<std::uint64_t, Hold> Holds_; ///< By age.
  std::uint64_t LastHold_ = 0;
  std::set<ServerId> LoggedUnidentified_; ///< Incarnations.
};

} // namespace laburnum
