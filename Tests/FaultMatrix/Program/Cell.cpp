#include "Cell.h"

#include <algorithm>

namespace laburnum::faults {

namespace {

constexpr std::uint64_t Seed = 7;

bool has(Row const &Faults, Fault SingleFault) {
  return std::find(Faults.Faults_.begin(), Faults.Faults_.end(), SingleFault) !=
         Faults.Faults_.end();
}

bool isServerFault(Fault SingleFault) {
  return SingleFault == Fault::ReclaimWithNotice ||
         SingleFault == Fault::ReclaimWithoutNotice ||
         SingleFault == Fault::Wave ||
         SingleFault == Fault::ReplacementRefused ||
         SingleFault == Fault::CrashingRequest;
}

/// Whether the fault can leave it unknown if a dispatched call ran.
bool canLoseOutcome(Fault SingleFault) {
  return isServerFault(SingleFault) || SingleFault == Fault::ProcessKilled ||
         SingleFault == Fault::ProcessPaused ||
         SingleFault == Fault::DataCentresCut;
}

/// Whether the caller's instance ends, or no engine remains reachable from it,
/// so that the caller may have to submit its stream again.
bool mayInterrupt(Row const &Faults, Column const &Step) {
  bool const LosesNearEngines = Step.Name_ == "second-move";
  return has(Faults, Fault::ProcessKilled) ||
         has(Faults, Fault::ProcessPaused) ||
         has(Faults, Fault::ReplacementRefused) ||
         has(Faults, Fault::CrashingRequest) ||
         (LosesNearEngines && has(Faults, Fault::DataCentresCut));
}

std::vector<Row> allRows() {
  std::vector<Row> All;
  for (int Each = 0; Each <= static_cast<int>(Fault::LateAndDuplicate); ++Each)
    All.push_back({{static_cast<Fault>(Each)}});
  for (auto const Platform :
       {Fault::PlatformCut, Fault::PlatformSlow, Fault::PlatformDown,
        Fault::AnswerLost, Fault::StaleRead, Fault::WatchGap})
    for (auto const Process : {Fault::ProcessKilled, Fault::ProcessPaused})
      All.push_back({{Platform, Process}});
  All.push_back({{Fault::DataCentresCut, Fault::PlatformDown}});
  All.push_back({{Fault::DataCentresCut, Fault::ProcessKilled}});
  All.push_back({{Fault::ReclaimWithNotice, Fault::ProcessKilled}});
  All.push_back({{Fault::ReclaimWithoutNotice, Fault::PlatformDown}});
  All.push_back({{Fault::Wave, Fault::ProcessPaused}});
  All.push_back({{Fault::Wave, Fault::ReplacementRefused}});
  All.push_back({{Fault::AnswerLost, Fault::StaleRead}});
  All.push_back({{Fault::OperatorsRacing, Fault::AnswerLost}});
  All.push_back({{Fault::LateAndDuplicate, Fault::ProcessKilled}});
  All.push_back({{Fault::LateAndDuplicate, Fault::StaleRead}});
  return All;
}

} // namespace

std::string Row::name() const {
  std::string Joined;
  for (auto const SingleFault : Faults_)
    Joined += (Joined.empty() ? "" : "+") + std::string(nameOf(SingleFault));
  return Joined;
}

std::vector<Row> const &rows() {
  static std::vector<Row> const All = allRows();
  return All;
}

std::optional<std::string> whyNotApplicable(Row const &Faults,
                                            Column const &Step) {
  if (has(Faults, Fault::LeaseLapsed))
    return "no flow holds a lease yet";
  if (Step.Guarantee_ == Guarantee::ConfigurationStays &&
      std::all_of(Faults.Faults_.begin(), Faults.Faults_.end(), isServerFault))
    return "configuration needs no backend server";
  if (Step.Guarantee_ == Guarantee::StopIsGraceful &&
      has(Faults, Fault::ProcessKilled))
    return "a killed process makes no planned stop";
  return std::nullopt;
}

std::vector<std::string> runCell(Row const &Faults, Column const &Step,
                                 Mutants const &ActiveMutants) {
  World Simulation(Seed, ActiveMutants);
  bool IsReached = false;
  Step.Start_(Simulation, [&](StepLocation const &Location) {
    IsReached = true;
    for (auto const SingleFault : Faults.Faults_)
      Simulation.inject(SingleFault, Location);
  });
  bool const CanLoseOutcome =
      std::any_of(Faults.Faults_.begin(), Faults.Faults_.end(), canLoseOutcome);
  Simulation.settle(CanLoseOutcome ? UnknownOutcome::Allowed
                                   : Step.UnknownOutcome_);
  if (Step.Guarantee_ == Guarantee::StreamsSurvive &&
      !mayInterrupt(Faults, Step) &&
      Simulation.callers().caller(0).Submissions_ > 1)
    Simulation.oracle().violate("the caller had to send its stream again");
  auto Violations = Simulation.oracle().violations();
  if (!IsReached)
    Violations.insert(Violations.begin(), "the step was not reached");
  return Violations;
}

} // namespace laburnum::faults
