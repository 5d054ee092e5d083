#include <LibServing/GuardFleet.h>

using namespace laburnum;
using namespace laburnum::test;

namespace {

AttemptEvidence const Answered{AttemptProgress::AnswerWhole,
                               AttemptEnd::Answered, 200, ""};
AttemptEvidence const Broken{AttemptProgress::RequestSent,
                             AttemptEnd::ConnectionFailed, 0, ""};

struct QuietListener : GuardListener {
  void onGuardNotification(GuardNotification const &Notification) override {
    Last_ = Notification;
  }
  GuardNotification Last_;
};

/// One instance without peers.
struct GuardRun {
  explicit GuardRun(std::vector<std::string> const &Names,
                    std::set<ServerId> Leaving = {}) {
    setServers(Names, std::move(Leaving));
  }

  void setServers(std::vector<std::string> const &Names,
                  std::set<ServerId> Leaving = {}) {
    std::vector<BackendServer> Servers;
    for (auto const &Name : Names)
      Servers.push_back(guardedServer(Name, "east", 2));
    auto const Snapshot = guardedConfiguration(Servers);
    Inner_.setSnapshot(Snapshot, Leaving);
    Chooser_.setSnapshot(Snapshot, std::move(Leaving));
  }
  static RouteQuery query(std::uint64_t Fingerprint) {
    RouteQuery Query;
    Query.Service_ = ServiceName("service");
    Query.Fingerprint_ = Fingerprint;
    return Query;
  }
  /// "wait", a server's name or the kind of an error.
  std::string chosen(std::uint64_t Fingerprint, Duration SinceStart) {
    if (Chooser_.choiceDelay(query(Fingerprint), at(SinceStart)))
      return "wait";
    auto const Choice = Chooser_.choose(query(Fingerprint), at(SinceStart));
    return isError(Choice) ? toString(errorOf(Choice).Kind_)
                           : valueOf(Choice).Id_.text();
  }
  void release(std::string const &Server, std::uint64_t Fingerprint,
               AttemptEvidence const &Evidence, Duration SinceStart) {
    Chooser_.release(ServerId(Server), query(Fingerprint), Evidence,
                     at(SinceStart));
  }

  QuietListener Listener_;
  LeastLoadedChooser Inner_{1};
  CrashGuard Guard_{1};
  GuardedChooser Chooser_{Inner_, Guard_, Listener_, InstanceId("i")};
};

} // namespace

TEST_CASE("Disconnected content waits for classification, runs isolated after "
          "a crash, and not at all after crashing a server in isolation") {
  GuardRun Run({"a", "b"}, {ServerId("b")});
  REQUIRE(Run.chosen(1, seconds(0)) == "a");
  REQUIRE(Run.chosen(2, seconds(0)) == "a");
  Run.release("a", 1, Broken, seconds(1));
  CHECK(Run.Listener_.Last_.BrokenOff_ == ServerId("a"));
  Run.release("a", 2, Broken, seconds(1));
  Run.setServers({"a", "b"}, {ServerId("a")});
  CHECK(Run.chosen(1, seconds(1)) == "wait");
  CHECK(Run.Guard_.onCrash(guardedServer("a"), at(seconds(2))).size() == 2);
  CHECK(Run.chosen(2, seconds(3)) == "b");
  // The reserved server runs nothing else, and the other suspect waits.
  CHECK(Run.chosen(1, seconds(3)) == "wait");
  CHECK(Run.chosen(3, seconds(3)) == "unavailable");
  Run.release("b", 2, Answered, seconds(4));
  CHECK(Run.Guard_.verdict(2, at(seconds(4))) == CrashVerdict::Run);
  CHECK(Run.chosen(1, seconds(5)) == "b");
  Run.Guard_.onCrash(guardedServer("b"), at(seconds(6)));
  CHECK(Run.chosen(1, seconds(7)) == "invalid_argument");
  CHECK(Run.Guard_.verdict(2, at(seconds(7))) == CrashVerdict::Run);
  CHECK(Run.Guard_.verdict(1, at(std::chrono::hours(1))) == CrashVerdict::Run);
}

TEST_CASE("Only one copy of suspect content runs at a time") {
  GuardRun Run({"b", "c", "d"});
  Run.Guard_.merge({{1, 1, ServerId("a"), CrashEvidence::Crashed, seconds(0)}},
                   at(seconds(0)));
  auto const First = Run.chosen(1, seconds(1));
  CHECK(First != "wait");
  CHECK(Run.chosen(1, seconds(1)) == "wait");
  CHECK(
      toString(errorOf(Run.Chooser_.choose(GuardRun::query(1), at(seconds(1))))
                   .Kind_) == "resource_exhausted");
  Run.release(First, 1, Broken, seconds(2));
  CHECK(Run.chosen(1, milliseconds(2500)) == "wait");
  Run.Chooser_.onTimePassed(at(seconds(8)));
  CHECK(Run.chosen(1, seconds(8)) != "wait");
}

TEST_CASE("Content that shared every crashed server is never refused") {
  CrashGuard Guard(1);
  for (auto const *Name : {"a", "b", "c"}) {
    Guard.onStarted(1, ServerId(Name), Isolation::Shared);
    CHECK(Guard.onCrash(guardedServer(Name), at(seconds(1))).size() == 1);
    CHECK(Guard.verdict(1, at(seconds(1))) == CrashVerdict::RunIsolated);
  }
}

TEST_CASE("Crashes during a reclaim are ignored") {
  CrashGuard Guard(1);
  Guard.onStarted(1, ServerId("a"), Isolation::Shared);
  Guard.onStarted(1, ServerId("b"), Isolation::Shared);
  SECTION("noticed before") {
    Guard.onReclaim(guardedServer("other"), at(seconds(0)));
    CHECK(Guard.onCrash(guardedServer("a"), at(seconds(1))).empty());
  }
  SECTION("noticed after") {
    Guard.onCrash(guardedServer("a"), at(seconds(1)));
    // The copy on the other server is still running.
    CHECK(Guard.verdict(1, at(seconds(2))) == CrashVerdict::Wait);
    Guard.onReclaim(guardedServer("a"), at(seconds(2)));
  }
  SECTION("a disconnect from a leaving server is not suspect") {
    Guard.onReclaim(guardedServer("a"), at(seconds(0)));
    CHECK(Guard.onEnded(1, ServerId("a"), Broken, at(seconds(1))).empty());
  }
  CHECK(Guard.verdict(1, at(seconds(2))) == CrashVerdict::Run);
}

TEST_CASE("Peers' crash reports count once, in any order, and not after "
          "clearing") {
  CrashGuard Guard(1);
  CrashGuard Peer(2);
  Guard.onStarted(1, ServerId("a"), Isolation::Shared);
  auto const Early = Guard.onEnded(1, ServerId("a"), Broken, at(seconds(1)));
  Guard.onCrash(guardedServer("a"), at(seconds(1)));
  auto const Reports = Guard.reports(at(seconds(2)));
  Peer.merge(Reports, at(seconds(2)));
  Peer.merge(Early, at(seconds(2)));
  Peer.merge(Reports, at(seconds(2)));
  CHECK(Peer.verdict(1, at(seconds(2))) == CrashVerdict::RunIsolated);
  Peer.onEnded(1, ServerId("b"), Answered, at(seconds(3)));
  Peer.merge(Guard.reports(at(seconds(4))), at(seconds(4)));
  CHECK(Peer.verdict(1, at(seconds(4))) == CrashVerdict::Run);
  Guard.merge({{9, 1, ServerId("c"), CrashEvidence::CrashedAlone, seconds(1)}},
              at(seconds(4)));
  CHECK(Guard.verdict(1, at(seconds(4))) == CrashVerdict::Refuse);
}

TEST_CASE("A disconnect is classified by the probes of the server and its "
          "neighbours") {
  using A = ProbeAnswer;
  CHECK(classifyDisconnect({{A::Accepted, A::Accepted}, {}}) ==
        DisconnectCause::Link);
  CHECK(classifyDisconnect({{A::Accepted, A::Refused}, {}}) ==
        DisconnectCause::Crash);
  CHECK(classifyDisconnect(
            {{A::Refused}, {A::Accepted, A::Accepted, A::Silent}}) ==
        DisconnectCause::Crash);
  CHECK(classifyDisconnect(
            {{A::Refused}, {A::Refused, A::Silent, A::Accepted}}) ==
        DisconnectCause::Reclaim);
  CHECK(classifyDisconnect({{A::Silent}, {A::Accepted}}) ==
        DisconnectCause::MachineLost);
  CHECK(classifyDisconnect({{A::Silent}, {A::Silent}}) ==
        DisconnectCause::Reclaim);
}

// Guards against taking a crash of all servers for a cut of the prober's link,
// and the other way round.
TEST_CASE("A disconnect is a crash if its server is replaced, and undecided "
          "while the prober's link is cut") {
  auto const Answer = GENERATE(ProbeAnswer::Accepted, ProbeAnswer::Refused,
                               ProbeAnswer::Silent);
  auto const Link = GENERATE(LinkState::Up, LinkState::Cut);
  CHECK(classifyDisconnect({{Answer}, {}, ListedProcess::Replaced, Link}) ==
        DisconnectCause::Crash);
  CHECK((classifyDisconnect({{Answer}, {}, ListedProcess::Same, Link}) ==
         DisconnectCause::Undecided) == (Link == LinkState::Cut));
}
