// What attempts, peers and probes tell of servers.

#include "RequestSession.h"
#include "TrafficPlane.h"

#include <algorithm>
#include <cstdlib>

namespace laburnum {

namespace {

/// Delay between a disconnect and the probe of its server: a crashing process
/// may still accept connections for a moment.
constexpr std::chrono::milliseconds ProbeDelay{100};
constexpr std::chrono::milliseconds ProbeTimeout{1000};
/// Delay between the end of a cut and the probes of servers that were
/// disconnected in it: by then their next processes are listed.
constexpr std::chrono::seconds ProbeDelayAfterCut{2};

} // namespace

void TrafficPlane::onAttemptEnded(RequestFingerprints const &Fingerprints,
                                  ServerRecord const &Server,
                                  AttemptEvidence const &Evidence) {
  auto Observed = Evidence;
  // A leaving server is expected to close its connections: that is no crash.
  if (Observed.End_ == AttemptEnd::ConnectionFailed &&
      Roster_.isLeaving(Server))
    Observed.End_ = AttemptEnd::Cancelled;
  auto const Reports = Dependencies_.Guard_.onEnded(
      Fingerprints, incarnationOf(Server), Observed, readBootClock());
  report(Reports);
  if (std::any_of(Reports.begin(), Reports.end(), [](auto const &Report) {
        return Report.Evidence_ == CrashEvidence::BrokenOff;
      }))
    startDisconnectProbe(Server);
}

void TrafficPlane::onServerLeaving(ServerRecord const &Server) {
  auto const Incarnation = incarnationOf(Server);
  if (!Roster_.onLeaving(Incarnation, readBootClock()))
    return;
  if (auto const Pool = Pools_.find(Server.Id_); Pool != Pools_.end())
    Pool->second.Pool_->closeIdle();
  notifyPeersOfServer(Incarnation, Liveness::Leaving, "the server's answer");
}

void TrafficPlane::onServerReplaced(ServerRecord const &Server,
                                    std::string_view Source) {
  if (Roster_.onLeaving(incarnationOf(Server), readBootClock()))
    notifyPeersOfServer(incarnationOf(Server), Liveness::Gone, Source);
}

void TrafficPlane::onOtherIncarnation(ServerRecord const &Server,
                                      std::string const &Process) {
  auto const Listed = Server.IncarnationStartMilliseconds_;
  auto const Answering = std::strtoll(Process.c_str(), nullptr, 10);
  bool const IsNewer = Answering > Listed;
  Dependencies_.Metrics_.OtherIncarnations_.add();
  Dependencies_.Log_.write(
      LogLine("other_incarnation")
          .add("server", Server.Id_.text())
          .add("born", Listed)
          .add("answering_born", Answering)
          .add("outcome", IsNewer ? "listed one is gone" : "not used"));
  // An older process may go on while the listed one starts.
  if (IsNewer)
    onServerReplaced(Server, "a later incarnation");
}

void TrafficPlane::onServerGone(ServerRecord const &Server,
                                std::string_view Source) {
  if (Roster_.onUnreachable(incarnationOf(Server), readBootClock()))
    GoneNotices_.emplace_back(incarnationOf(Server), Source);
}

void TrafficPlane::flushGoneNotices() {
  for (auto const &[Incarnation, Source] : std::exchange(GoneNotices_, {}))
    notifyPeersOfServer(Incarnation, Liveness::Gone, Source);
}

void TrafficPlane::onServerContact(ServiceName const &Service) {
  flushGoneNotices();
  Links_.onContact(Service);
}

void TrafficPlane::onLinkCut(ServiceName const &Service) {
  GoneNotices_.clear();
  // What is sent on an open connection may be lost without a word.
  for (auto const &Record : Roster_.records())
    if (Record.Service_ == Service)
      if (auto const Pool = Pools_.find(Record.Id_); Pool != Pools_.end())
        Pool->second.Pool_->closeIdle();
  for (auto *const Session : std::set(AttemptingSessions_))
    if (AttemptingSessions_.contains(Session))
      Session->onLinkCut(Service);
  for (auto const &[Ticket, Session] : std::map(Waiting_))
    if (Waiting_.contains(Ticket))
      Session->onLinkCutInQueue(Service);
}

void TrafficPlane::notifyPeersOfServer(ServerId const &Incarnation,
                                       Liveness State,
                                       std::string_view Source) {
  bool const IsGone = State == Liveness::Gone;
  Dependencies_.Log_.write(LogLine(IsGone ? "server_gone" : "server_leaving")
                               .add("life", Incarnation.text())
                               .add("source", Source));
  ServerLeavingNotice Notice;
  Notice.Server_ = Incarnation;
  Notice.Liveness_ = State;
  if (LeavingListener_)
    LeavingListener_(Notice);
}

void TrafficPlane::onPeerNotice(ServerLeavingNotice const &Notice) {
  auto const Now = readBootClock();
  bool const IsGone = Notice.Liveness_ == Liveness::Gone;
  bool const IsNew = IsGone ? Roster_.onUnreachable(Notice.Server_, Now)
                            : Roster_.onLeaving(Notice.Server_, Now);
  if (IsNew)
    Dependencies_.Log_.write(LogLine(IsGone ? "server_gone" : "server_leaving")
                                 .add("life", Notice.Server_.text())
                                 .add("source", "a peer"));
}

void TrafficPlane::onServerBackoff(ServerRecord const &Server,
                                   BackoffRequest const &Backoff) {
  Roster_.onBackoffRequested(incarnationOf(Server), Backoff.For_,
                             readBootClock());
  Dependencies_.Metrics_.BackoffsRequested_.add();
  Dependencies_.Log_.write(
      LogLine("server_paused")
          .add("server", Server.Id_.text())
          .add("born", Server.IncarnationStartMilliseconds_)
          .add("for_ms", Backoff.For_)
          .add("origin",
               Backoff.Origin_ == BackoffSource::AsRequested ? "as requested"
               : Backoff.Origin_ == BackoffSource::Bounded   ? "bounded"
                                                             : "default"));
}

void TrafficPlane::onMaxRefusals(ServerRecord const &Server,
                                 std::optional<double> PerSecond) {
  Roster_.onMaxRefusals(Server, PerSecond);
  auto const Incarnation = incarnationOf(Server);
  bool const HasChanged = PerSecond ? BrittleServers_.insert(Incarnation).second
                                    : BrittleServers_.erase(Incarnation) > 0;
  if (HasChanged)
    Dependencies_.Log_.write(
        LogLine("server_brittle")
            .add("server", Server.Id_.text())
            .add("born", Server.IncarnationStartMilliseconds_)
            .add("outcome", PerSecond ? "stated" : "ended")
            .add("refusals_per_second", PerSecond.value_or(0.0)));
}

void TrafficPlane::startDisconnectProbe(ServerRecord const &Server) {
  if (ProbedServers_.insert(incarnationOf(Server)).second)
    probeAfter(ProbeDelay, Server);
}

void TrafficPlane::probeAfter(Duration Delay, ServerRecord const &Server) {
  ConnectProbe::start(Dependencies_.Context_, Server.Endpoint_, Delay,
                      ProbeTimeout, [this, Server](ProbeAnswer Answer) {
                        onDisconnectProbed(Server, Answer);
                      });
}

void TrafficPlane::onLinkUp() {
  flushGoneNotices();
  advanceQueue();
  for (auto const &Server : std::exchange(UndecidedServers_, {})) {
    if (Links_.isCut(Server.Service_))
      UndecidedServers_.push_back(Server);
    else
      probeAfter(ProbeDelayAfterCut, Server);
  }
}

void TrafficPlane::onDisconnectProbed(ServerRecord const &Server,
                                      ProbeAnswer Answer) {
  auto const Incarnation = incarnationOf(Server);
  auto const Listed = Roster_.isReplaced(Server) ? ListedProcess::Replaced
                                                 : ListedProcess::Same;
  auto const Link =
      Links_.isCut(Server.Service_) ? LinkState::Cut : LinkState::Up;
  auto const Cause = classifyDisconnect({{Answer}, {}, Listed, Link});
  if (Cause == DisconnectCause::Undecided) {
    UndecidedServers_.push_back(Server);
    Dependencies_.Log_.write(
        LogLine("server_judged")
            .add("server", Server.Id_.text())
            .add("born", Server.IncarnationStartMilliseconds_)
            .add("outcome", "undecided"));
    return;
  }
  ProbedServers_.erase(Incarnation);
  BackendServer ProbedServer;
  ProbedServer.Id_ = Incarnation;
  ProbedServer.DataCentre_ = Server.DataCentre_;
  auto const Reports = Dependencies_.Guard_.onDisconnectClassified(
      ProbedServer, Cause, readBootClock());
  bool const IsReachable = Cause == DisconnectCause::Link;
  (IsReachable ? Dependencies_.Metrics_.LinksBroken_
               : Dependencies_.Metrics_.ServersCrashed_)
      .add();
  if (Cause == DisconnectCause::Crash)
    onServerGone(Server, "a probe");
  Dependencies_.Log_.write(
      LogLine("server_judged")
          .add("server", Server.Id_.text())
          .add("born", Server.IncarnationStartMilliseconds_)
          .add("outcome", IsReachable                       ? "reachable"
                          : Cause == DisconnectCause::Crash ? "crashed"
                                                            : "silent")
          .add("breaks", Reports.size()));
  report(Reports);
}

void TrafficPlane::report(std::vector<CrashReport> const &Reports) {
  if (!Reports.empty() && CrashListener_)
    CrashListener_(Reports);
}

} // namespace laburnum
