#pragma once

#include "Cell.h"

#include <optional>
#include <ostream>
#include <string>

namespace laburnum::faults {

/// What part of the matrix to run; empty names select everything.
struct Selection {
  std::string Row_;
  std::string Column_;
  std::string KnownRedFile_;
  std::optional<Mutant> Mutant_;
};

void printNames(std::ostream &Out);

/// Runs the cells, prints the table and yields the program's exit status: 0
/// when all that failed is known.
int reportMatrix(Selection const &Wanted, std::ostream &Out);

/// Runs each cell against the mutants of its column until one is caught, and
/// prints which cells no mutant made fail.
int reportMutants(Selection const &Wanted, std::ostream &Out);

} // namespace laburnum::faults
