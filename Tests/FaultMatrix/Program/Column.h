#pragma once

#include <FaultMatrix/World.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum::faults {

enum class Promise {
  AtMostOnce,
  NotRunIsTrue,
  StreamsSurvive,
  OwnWholeAnswer,
  LeavingGetsNoWork,
  StopIsGraceful,
  ConfigurationStays,
};

/// Lets the row's faults fall.
using Inject = std::function<void(Place const &)>;

/// One step of one promise's flow.
struct Column {
  Promise Promise_ = Promise::AtMostOnce;
  std::string Name_;
  /// Whether the step itself can leave a call in doubt.
  Doubt Doubt_ = Doubt::Never;
  /// Mechanisms whose absence the cells of this column are to show, the
  /// likeliest first.
  std::vector<Mutant> Mutants_;
  /// Starts the flow and calls Inject when its step is reached.
  std::function<void(World &, Inject const &)> Start_;
};

std::vector<Column> const &columns();

std::vector<Column> requestColumns();
std::vector<Column> streamColumns();
std::vector<Column> fleetColumns();

} // namespace laburnum::faults
