#pragma once

#include <LibModel/AttemptEvidence.h>
#include <LibTraffic/ServerRecord.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace laburnum {

/// Where data centres lie.
struct Geography {
  DataCentre Own_;
  std::map<DataCentre, std::string> Regions_;

  auto operator<=>(Geography const &) const = default;
};

/// What a choice of server depends on.
struct ServerQuery {
  ServiceName Service_;
  std::set<ServerId> Excluded_;
  /// Requests with the same text are better served by the same server. Empty:
  /// any will do.
  std::string Affinity_;

  auto operator<=>(ServerQuery const &) const = default;
};

/// How an attempt at a server ended, as far as the server's health goes.
enum class ServerVerdict {
  Worked,
  Refused, ///< It was full.
  Failed,  ///< It could not be reached or its answer was no answer.
  Unknown, ///< The attempt was given up before it showed anything.
};

/// The backend servers of all services: what the platform's list says, what
/// was seen of them here, and which is best for a request. A life of a server
/// takes no new request from the first sign that it leaves, whatever the list
/// says of it later, nor while it has asked for a pause.
class ServerRoster {
public:
  ServerRoster(Geography Places, std::uint64_t Seed);

  /// The whole list; servers that are not in it are gone.
  void replaceAll(std::vector<ServerRecord> const &Records);
  void update(ServerRecord const &Record);
  void remove(ServerId const &Id);

  /// Nothing when no server has room.
  std::optional<ServerRecord> choose(ServerQuery const &Query, TimePoint Now);
  /// Whether any server of the service takes requests, with room or not.
  bool isServed(ServiceName const &Service, TimePoint Now) const;

  /// The attempt chosen last for this server goes out.
  void onSent(ServerId const &Id);
  void onEnded(ServerId const &Id, ServerVerdict Verdict, TimePoint Now);
  void onLoad(ServerId const &Id, ServerLoad const &Load, TimePoint Now);
  /// An attempt has waited long for the server's first byte, or waits no more.
  void onSilent(ServerId const &Id);
  void onSilenceEnded(ServerId const &Id);
  /// The server itself or a peer said that this life of it leaves, or another
  /// one has its address. Yields whether that is new.
  bool onLeaving(ServerId const &Life, TimePoint Now);
  /// Nothing listens where this life was, or a peer found so. A hint: while
  /// other servers of the service are there the life is left out, for longer
  /// with each sign. Yields whether it was not left out already.
  bool onGone(ServerId const &Life, TimePoint Now);
  /// The server wants nothing from here for a while.
  void onPause(ServerId const &Life, Duration For, TimePoint Now);
  /// When a request may come back to a service of which every server wants a
  /// pause beyond GiveUpAt; spread, so that not all come together. Nothing when
  /// it may wait.
  std::optional<Duration> returnAfterPause(ServiceName const &Service,
                                           TimePoint GiveUpAt, TimePoint Now);

  /// Whether the server is not expected to stay: it drains, has said that it
  /// leaves, or is not listed.
  bool isLeaving(ServerId const &Id) const;

  std::vector<ServerRecord> records() const;
  std::uint32_t running(ServerId const &Id) const;
  /// What was sent from here and has not ended, by service.
  std::map<ServiceName, std::uint32_t> runningByService() const;

private:
  /// What a life said of itself.
  struct LifeNote {
    bool IsLeaving_ = false;
    TimePoint PausedUntil_ = TimePoint::min();
    TimePoint GoneUntil_ = TimePoint::min();
    std::uint32_t GoneSigns_ = 0;
    TimePoint KeptUntil_{};
  };

  struct Entry {
    ServerRecord Record_;
    ServerId Life_;
    LifeNote Note_;
    std::uint32_t Running_ = 0; ///< Sent from here and not ended.
    double Others_ = 0.0;       ///< Of other instances, when last told.
    TimePoint ToldAt_ = TimePoint::min();
    std::uint32_t Silent_ = 0;   ///< Attempts that wait long already.
    std::uint32_t Failures_ = 0; ///< In a row.
    TimePoint AvoidUntil_ = TimePoint::min();
  };

  bool isStaying(Entry const &Server) const;
  /// Changes the note of a life, whether the life is listed or not.
  template <typename Function>
  void note(ServerId const &Life, TimePoint Now, Function Change);
  bool takesRequests(Entry const &Server, TimePoint Now) const;
  double load(Entry const &Server, TimePoint Now) const;
  /// The load with what makes a server worse than its load says.
  double burden(Entry const &Server, TimePoint Now) const;
  double cost(Entry const &Server, TimePoint Now) const;
  std::vector<Entry const *> usable(ServerQuery const &Query,
                                    TimePoint Now) const;
  Entry const *byAffinity(std::vector<Entry const *> const &Usable,
                          std::string const &Affinity, TimePoint Now) const;

  Geography Places_;
  std::mt19937_64 Generator_;
  std::map<ServerId, Entry> Servers_;
  /// By life. An entry of the list may lapse and come back.
  std::map<ServerId, LifeNote> Notes_;
};

} // namespace laburnum
