#pragma once

#include "Cell.h"

#include <optional>
#include <ostream>
#include <string>

namespace laburnum::faults {

/// The part of the matrix to run; empty names select everything.
struct Selection {
  std::string Row_;
  std::string Column_;
  std::string KnownRedFile_;
  std::optional<Mutant> Mutant_;
};

void printNames(std::ostream &Out);

/// Runs the cells, prints the table and returns the program's exit status: 0
/// if all failures are known.
int reportMatrix(Selection const &Selected, std::ostream &Out);

/// Runs each cell with the mutants of its column until one is detected, and
/// prints the cells that no mutant made fail.
int reportMutants(Selection const &Selected, std::ostream &Out);

} // namespace laburnum::faults
