#pragma once

#include <FaultMatrix/World.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum::faults {

enum class Guarantee {
  AtMostOnce,
  NotRunIsTrue,
  StreamsSurvive,
  CompleteAnswer,
  LeavingGetsNoWork,
  StopIsGraceful,
  ConfigurationStays,
};

/// Injects the faults of the row.
using Inject = std::function<void(StepLocation const &)>;

/// One step in the flow of one guarantee.
struct Column {
  Guarantee Guarantee_ = Guarantee::AtMostOnce;
  std::string Name_;
  /// Whether the step itself can leave the outcome of a call unknown.
  UnknownOutcome UnknownOutcome_ = UnknownOutcome::Never;
  /// Mutants that the cells of this column should detect, the likeliest first.
  std::vector<Mutant> Mutants_;
  /// Starts the flow and calls Inject when the step is reached.
  std::function<void(World &, Inject const &)> Start_;
};

std::vector<Column> const &columns();

std::vector<Column> requestColumns();
std::vector<Column> streamColumns();
std::vector<Column> fleetColumns();

} // namespace laburnum::faults
