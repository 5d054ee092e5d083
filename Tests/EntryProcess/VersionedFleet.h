#pragma once

#include "EntryProcess.h"
#include "LinkCuts.h"
#include "ScriptedServer.h"
#include "StandinThread.h"
#include "StoreStandin.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laburnum::entry_process {

/// What a client received of a stream, by event identifier.
using ReceivedEvents = std::map<std::uint64_t, std::string>;

/// A client's stream on a raw connection to an instance.
class StreamClient {
public:
  /// Requests the stream; the field values are sent unless they are empty.
  StreamClient(EntryProcess const &Instance, std::string AttemptId,
               std::string const &Resumes = {},
               std::string const &LastEventId = {},
               std::string const &Route = "/stream/",
               std::chrono::milliseconds Deadline = std::chrono::seconds(8));

  /// Reads until the stream has this many events, or its end.
  void readEvents(std::size_t Count);
  void readToEnd();
  /// Reads what arrives within this time. Returns false once the connection has
  /// ended.
  bool readWithin(std::chrono::milliseconds Time);
  /// All bytes so far.
  std::string const &received() const { return Received_; }
  /// Resets the connection.
  void reset();

  std::string const &attemptId() const { return AttemptId_; }
  int status() const;
  ReceivedEvents events() const;
  /// Whether the answer ended as complete.
  bool isComplete() const;

private:
  bool readMore();

  std::string AttemptId_;
  std::unique_ptr<asio::io_context> Context_ =
      std::make_unique<asio::io_context>();
  asio::ip::tcp::socket Socket_{*Context_};
  std::string Received_;
};

/// Several laburnum-entry processes before servers of several software versions
/// of one service. Each event of a server's stream holds the server's version.
class VersionedFleet {
public:
  /// Number of events of a complete stream.
  static constexpr std::uint64_t StreamLength = 6;
  /// Events that a server writes before it stops, for a new stream.
  static constexpr std::uint64_t EventsBeforeStop = 2;

  /// How servers go on after the first events of a new stream.
  enum class Stop {
    Waits,     ///< The connection stays open.
    BreaksOff, ///< For every other stream, it ends inside an event.
    /// No stop: events follow each other after EventGap, and each tells its
    /// piece of the stream: "VERSION START RUN", START being the event after
    /// which the server began, RUN a number of its own for each piece.
    Paced,
  };

  static constexpr std::chrono::milliseconds EventGap{50};
  /// How paced streams are broken.
  enum class Break { InsideEvent, Reset };

  /// How the answers of paced streams end.
  enum class Framing {
    Closes,
    Chunked, ///< The connection is kept.
    ByTurns, ///< Every other answer is chunked.
  };
  /// What a server of paced streams does wrong in some answers.
  enum class Oddity {
    None,
    RepeatsEvent,
    AnswersBefore, ///< An answer to another attempt comes before the stream.
    AnswersAfter,  ///< Another answer follows the complete one.
    BeginsAnew,    ///< Begins at the first event, whatever is asked for.
  };

  enum class ServerReports { None, Given };

  /// How the connections of a server end whose process ends.
  enum class ProcessEnd { Resets, Closes };

  /// Program is that of the instances: a path or a name of this build. Only
  /// cuttable-entry can be cut off. FirstProgram is that of the first instance,
  /// where it is another one.
  VersionedFleet(unsigned Instances, Stop Stop,
                 std::string const &Program = "cuttable-entry",
                 std::string const &FirstProgram = "");
  ~VersionedFleet();
  VersionedFleet(VersionedFleet const &) = delete;
  VersionedFleet &operator=(VersionedFleet const &) = delete;

  /// Instances that are started later are cut off from the servers that are
  /// listed by then.
  void startInstances();
  /// Starts an instance that has ended, without waiting for it. Its links are
  /// whole.
  void launch(std::size_t Instance);
  /// Cuts an instance off from all servers, or heals its links.
  void cut(std::size_t Instance, Cut Cut) { Cuts_.cut(Instance, Cut); }
  /// Which links of an instance are cut.
  enum class Partition {
    None,
    Whole,      ///< The store and all others.
    ButOne,     ///< The store and all others but the next.
    SendsOnly,  ///< The store, and what the others send.
    HearsOnly,  ///< The store, and what the others would get.
    Store,      ///< The store alone.
    OthersOnly, ///< All others, but not the store.
  };
  /// Cuts links of an instance, or heals all. The others keep theirs.
  void partition(std::size_t Instance, Partition Links);
  /// Ends the streams that wait inside their next event.
  void breakStreams();
  /// Breaks off those of the paced streams for which Choose returns true.
  void breakPaced(Break How, std::function<bool()> const &Choose);
  void setFraming(Framing Framing);
  /// Choose is called on the stand-ins' thread for each answer.
  void setOddities(std::function<Oddity()> Choose);
  /// Returns how often servers began each attempt's stream at its first event.
  std::map<std::string, unsigned> runsFromStart();
  EntryProcess &instance(std::size_t Number) { return *Instances_[Number]; }
  std::size_t instances() const { return Instances_.size(); }
  void killAll();
  /// Starts a server, or another under the identifier of one that is gone, and
  /// lists it.
  void addServer(std::string const &Id, std::string const &Version,
                 std::string const &Service = "desk");
  /// Ends the server's process and starts another one of this version under its
  /// identifier and at its address. The list doesn't say so until
  /// listRestarted().
  void restartServer(std::string const &Id, std::string const &Version);
  void listRestarted(std::string const &Id);
  /// Ends the server's process; it stays listed.
  void crashServer(std::string const &Id);
  /// Sets whether servers that are started later say which incarnation they
  /// are.
  void setReports(ServerReports Reports) { Reports_ = Reports; }
  void setProcessEnd(ProcessEnd End) { ProcessEnd_ = End; }
  /// Writes a configuration that leads the streams' route to these services.
  void configureStreams(std::vector<std::string> const &Services);
  void drainServer(std::string const &Id);
  /// Ends the server and removes it from the list.
  void removeServer(std::string const &Id);
  /// Waits until all instances have applied the last change of the list.
  void awaitList();
  template <typename Function> auto onStore(Function Task) {
    return Thread_.on([&] { return Task(Store_); });
  }

private:
  struct Listed {
    std::string Version_;
    std::int64_t Born_ = 0;
    Endpoint Endpoint_;
    std::string Service_;
  };

  /// A stream that a server writes event by event.
  struct Paced {
    std::shared_ptr<ScriptedServer::Peer> Peer_;
    std::string Piece_;
    std::uint64_t Next_;
    Framing Framing_;
    Oddity Oddity_;
    asio::steady_timer Timer_;
  };

  ScriptedServer::Script scriptOf(std::string const &Version);
  ScriptedServer::Script pacedScriptOf(std::string const &Id,
                                       std::string const &Version);
  static void writeEvent(Paced const &Stream, std::string const &Bytes);
  void endPaced(std::shared_ptr<Paced> const &Stream);
  void writeNext(std::shared_ptr<Paced> const &Stream);
  /// Ends the server's process. Connections that are being accepted may still
  /// refer to it.
  void endServer(std::string const &Id);
  void startServer(std::string const &Id, std::string const &Version,
                   std::string const &Service, std::uint16_t Port);
  void list(std::string const &Id, std::string const &State);
  void prepareStart(std::size_t Instance);
  /// Drops what the instance sends to the other one.
  void dropBetween(std::size_t From, std::size_t To);

  Stop const Stop_;
  ServerReports Reports_ = ServerReports::Given;
  ProcessEnd ProcessEnd_ = ProcessEnd::Resets;
  StandinThread Thread_;
  StoreStandin Store_{Thread_.context()};
  std::map<std::string, Listed> Listed_;
  std::map<std::string, std::unique_ptr<ScriptedServer>> Servers_;
  std::vector<std::unique_ptr<ScriptedServer>> Ended_;
  std::set<std::shared_ptr<ScriptedServer::Peer>> Open_;
  std::set<std::shared_ptr<Paced>> Paced_;
  std::uint64_t LastRun_ = 0;
  Framing Framing_ = Framing::Closes;
  std::function<Oddity()> ChooseOddity_ = [] { return Oddity::None; };
  std::map<std::string, unsigned> RunsFromStart_;
  std::int64_t LastBorn_ = 1700000000000;
  std::uint64_t Sequence_ = 0;
  std::uint64_t ConfigurationVersion_ = 1;
  std::string LastChange_; ///< Of the list, as the instances log it.
  std::shared_ptr<HttpListener> StoreListener_;
  LinkCuts Cuts_{Thread_};
  /// What each instance sends in vain, see LinkCuts::drop().
  std::map<std::size_t, std::set<std::string>> Dropped_;
  std::vector<std::unique_ptr<EntryProcess>> Instances_;
};

} // namespace laburnum::entry_process
