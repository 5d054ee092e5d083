#include "Column.h"

namespace laburnum::faults {

namespace {

constexpr std::size_t First = 0;
constexpr std::size_t Restarted = 5;
constexpr Duration LoadTime = std::chrono::seconds(9);
constexpr Duration LoadLead = std::chrono::milliseconds(500);
constexpr Duration LongNotice = std::chrono::seconds(60);

Column leaving(std::string const &Name, LeavingSign Sign,
               std::vector<Mutant> Mutants) {
  auto const Start = [Sign](World &In, Inject const &Now) {
    In.keepCalling(LoadTime);
    In.after(LoadLead, [&In, Sign, Now] {
      In.leave(ServerId("p1"), Sign, LongNotice);
      Now({First, ServerId("p3"), {}});
    });
  };
  return {Promise::LeavingGetsNoWork, Name, Doubt::Never, std::move(Mutants),
          Start};
}

Column stopWithClaim() {
  auto const Start = [](World &In, Inject const &Now) {
    In.atStep(Step::ClaimWriteSent, "order", [&In, Now](Place const &Where) {
      In.stopInstance(Where.Instance_);
      Now(Where);
    });
    In.call("order", Idempotence::NonIdempotent, First);
  };
  return {Promise::StopIsGraceful,
          "stop-with-claim",
          Doubt::Never,
          {Mutant::StopAtOnce},
          Start};
}

Column stopWithStream() {
  auto const Start = [](World &In, Inject const &Now) {
    In.atStep(Step::MidStream, "essay", [&In, Now](Place const &Where) {
      In.stopInstance(Where.Instance_);
      Now(Where);
    });
    In.stream("essay", 200, First);
  };
  return {Promise::StopIsGraceful,
          "stop-with-stream",
          Doubt::Never,
          {Mutant::StopAtOnce},
          Start};
}

std::vector<Mutant> const ChangeMutants = {
    Mutant::DropConfigurationNews, Mutant::BlindWrites,
    Mutant::LostAnswerIsRefusal,   Mutant::AcceptUnwritten,
    Mutant::ForgetChangeId,        Mutant::ApplyAnyVersion};

Column acceptingWrite() {
  auto const Start = [](World &In, Inject const &Now) {
    In.platform().beforeOperatorsPut([Now] { Now({First, {}, {}}); });
    In.change("change", First);
  };
  return {Promise::ConfigurationStays, "accepting-write", Doubt::Never,
          ChangeMutants, Start};
}

Column newsUnderWay(std::string const &Name, Step At) {
  auto const Start = [At](World &In, Inject const &Now) {
    In.atStep(At, {}, Now);
    In.change("change", First);
  };
  return {Promise::ConfigurationStays, Name, Doubt::Never, ChangeMutants,
          Start};
}

/// An instance starts while the platform is down, and is to have the
/// configuration from its peers before the platform is back.
Column restartFromPeers() {
  auto const Start = [](World &In, Inject const &Now) {
    In.platform().beginOutage();
    In.kill(Restarted);
    In.after(std::chrono::milliseconds(600), [Now] {
      Now({Restarted, {}, {}});
    });
    In.after(std::chrono::milliseconds(6800),
             [&In] { In.checkInForce(Restarted); });
  };
  return {Promise::ConfigurationStays, "restart-from-peers", Doubt::Never,
          ChangeMutants, Start};
}

/// The other data centre hears of the change by its peers only, when the cut
/// is healed.
Column partitionHeal() {
  auto const Start = [](World &In, Inject const &Now) {
    In.platform().cut(4);
    In.platform().cut(5);
    In.cutCentres(World::FaultTime);
    In.change("change", First);
    In.after(World::FaultTime, [Now] { Now({First, {}, {}}); });
    In.after(std::chrono::milliseconds(12900), [&In] {
      In.checkInForce(4);
      In.checkInForce(5);
    });
    In.run(std::chrono::seconds(6));
  };
  return {Promise::ConfigurationStays, "partition-heal", Doubt::Never,
          ChangeMutants, Start};
}

/// The platform goes down as soon as the change has taken effect, so that its
/// operator is left in doubt and sends it again.
Column auditOnce() {
  auto const Start = [](World &In, Inject const &Now) {
    In.platform().goDownAfterOperatorsPut();
    In.after(std::chrono::seconds(2), [&In] { In.platform().endOutage(); });
    In.platform().beforeOperatorsPut([Now] { Now({First, {}, {}}); });
    In.change("change", First);
  };
  return {Promise::ConfigurationStays,
          "audit-once",
          Doubt::Never,
          {Mutant::ForgetChangeId, Mutant::LostAnswerIsRefusal,
           Mutant::DropConfigurationNews},
          Start};
}

} // namespace

std::vector<Column> fleetColumns() {
  return {leaving("notice", LeavingSign::Notice,
                  {Mutant::IgnoreDepartures, Mutant::ListOverridesNotice}),
          leaving("list", LeavingSign::List, {Mutant::IgnoreDepartures}),
          leaving("peer", LeavingSign::Peer,
                  {Mutant::IgnoreDepartures, Mutant::ListOverridesNotice}),
          leaving("refusal", LeavingSign::Refusal, {Mutant::IgnoreDepartures}),
          stopWithClaim(),
          stopWithStream(),
          acceptingWrite(),
          newsUnderWay("fan-out", Step::NewsSent),
          newsUnderWay("watch", Step::WatchAnswered),
          restartFromPeers(),
          partitionHeal(),
          auditOnce()};
}

std::vector<Column> const &columns() {
  static std::vector<Column> const All = [] {
    auto Joined = requestColumns();
    for (auto const &Part : {streamColumns(), fleetColumns()})
      Joined.insert(Joined.end(), Part.begin(), Part.end());
    return Joined;
  }();
  return All;
}

} // namespace laburnum::faults
