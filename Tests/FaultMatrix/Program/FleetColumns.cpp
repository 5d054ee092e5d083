#include "Column.h"

namespace laburnum::faults {

namespace {

constexpr std::size_t First = 0;
constexpr std::size_t Restarted = 5;
constexpr Duration LoadTime = std::chrono::seconds(9);
constexpr Duration LoadLead = std::chrono::milliseconds(500);
constexpr Duration LongNotice = std::chrono::seconds(60);

Column leaving(std::string const &Name, DepartureSource Source,
               std::vector<Mutant> Mutants) {
  auto const Start = [Source](World &Simulation, Inject const &InjectFaults) {
    Simulation.generateLoad(LoadTime);
    Simulation.after(LoadLead, [&Simulation, Source, InjectFaults] {
      Simulation.announceDeparture(ServerId("p1"), Source, LongNotice);
      InjectFaults({First, ServerId("p3"), {}});
    });
  };
  return {Guarantee::LeavingGetsNoWork, Name, UnknownOutcome::Never,
          std::move(Mutants), Start};
}

Column stopWithClaim() {
  auto const Start = [](World &Simulation, Inject const &InjectFaults) {
    Simulation.atStep(
        Step::ClaimWriteSent, "order",
        [&Simulation, InjectFaults](StepLocation const &Location) {
          Simulation.stopInstance(Location.Instance_);
          InjectFaults(Location);
        });
    Simulation.call("order", Idempotence::NonIdempotent, First);
  };
  return {Guarantee::StopIsGraceful,
          "stop-with-claim",
          UnknownOutcome::Never,
          {Mutant::StopAtOnce},
          Start};
}

Column stopWithStream() {
  auto const Start = [](World &Simulation, Inject const &InjectFaults) {
    Simulation.atStep(
        Step::MidStream, "essay",
        [&Simulation, InjectFaults](StepLocation const &Location) {
          Simulation.stopInstance(Location.Instance_);
          InjectFaults(Location);
        });
    Simulation.stream("essay", 200, First);
  };
  return {Guarantee::StopIsGraceful,
          "stop-with-stream",
          UnknownOutcome::Never,
          {Mutant::StopAtOnce},
          Start};
}

std::vector<Mutant> const ChangeMutants = {
    Mutant::DropConfigurationNews, Mutant::BlindWrites,
    Mutant::LostAnswerIsRefusal,   Mutant::AcceptUnwritten,
    Mutant::ForgetChangeId,        Mutant::ApplyAnyVersion};

Column acceptingWrite() {
  auto const Start = [](World &Simulation, Inject const &InjectFaults) {
    Simulation.platform().beforeOperatorsPut([InjectFaults] {
      InjectFaults({First, {}, {}});
    });
    Simulation.change("change", First);
  };
  return {Guarantee::ConfigurationStays, "accepting-write",
          UnknownOutcome::Never, ChangeMutants, Start};
}

Column updateInTransit(std::string const &Name, Step At) {
  auto const Start = [At](World &Simulation, Inject const &InjectFaults) {
    Simulation.atStep(At, {}, InjectFaults);
    Simulation.change("change", First);
  };
  return {Guarantee::ConfigurationStays, Name, UnknownOutcome::Never,
          ChangeMutants, Start};
}

/// An instance starts while the platform is down, and must get the
/// configuration from its peers before the platform recovers.
Column restartFromPeers() {
  auto const Start = [](World &Simulation, Inject const &InjectFaults) {
    Simulation.platform().beginOutage();
    Simulation.kill(Restarted);
    Simulation.after(std::chrono::milliseconds(600), [InjectFaults] {
      InjectFaults({Restarted, {}, {}});
    });
    Simulation.after(std::chrono::milliseconds(6800),
                     [&Simulation] { Simulation.checkInForce(Restarted); });
  };
  return {Guarantee::ConfigurationStays, "restart-from-peers",
          UnknownOutcome::Never, ChangeMutants, Start};
}

/// The other data centre receives the change only from its peers, after the
/// partition has healed.
Column partitionHeal() {
  auto const Start = [](World &Simulation, Inject const &InjectFaults) {
    Simulation.platform().cut(4);
    Simulation.platform().cut(5);
    Simulation.partitionDataCentres(World::FaultTime);
    Simulation.change("change", First);
    Simulation.after(World::FaultTime, [InjectFaults] {
      InjectFaults({First, {}, {}});
    });
    Simulation.after(std::chrono::milliseconds(12900), [&Simulation] {
      Simulation.checkInForce(4);
      Simulation.checkInForce(5);
    });
    Simulation.run(std::chrono::seconds(6));
  };
  return {Guarantee::ConfigurationStays, "partition-heal",
          UnknownOutcome::Never, ChangeMutants, Start};
}

/// The platform goes down as soon as the change has taken effect, so that the
/// operator doesn't know its outcome and submits it again.
Column auditOnce() {
  auto const Start = [](World &Simulation, Inject const &InjectFaults) {
    Simulation.platform().goDownAfterOperatorsPut();
    Simulation.after(std::chrono::seconds(2),
                     [&Simulation] { Simulation.platform().endOutage(); });
    Simulation.platform().beforeOperatorsPut([InjectFaults] {
      InjectFaults({First, {}, {}});
    });
    Simulation.change("change", First);
  };
  return {Guarantee::ConfigurationStays,
          "audit-once",
          UnknownOutcome::Never,
          {Mutant::ForgetChangeId, Mutant::LostAnswerIsRefusal,
           Mutant::DropConfigurationNews},
          Start};
}

} // namespace

std::vector<Column> fleetColumns() {
  return {
      leaving("notice", DepartureSource::Notice,
              {Mutant::IgnoreDepartures, Mutant::ListOverridesNotice}),
      leaving("list", DepartureSource::List, {Mutant::IgnoreDepartures}),
      leaving("peer", DepartureSource::Peer,
              {Mutant::IgnoreDepartures, Mutant::ListOverridesNotice}),
      leaving("refusal", DepartureSource::Refusal, {Mutant::IgnoreDepartures}),
      stopWithClaim(),
      stopWithStream(),
      acceptingWrite(),
      updateInTransit("fan-out", Step::UpdateSent),
      updateInTransit("watch", Step::WatchAnswered),
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
