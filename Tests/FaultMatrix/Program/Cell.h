#pragma once

#include "Column.h"

#include <optional>
#include <string>
#include <vector>

namespace laburnum::faults {

/// One fault, or two simultaneous faults.
struct Row {
  std::vector<Fault> Faults_;

  std::string name() const;
};

/// Every single fault, then the pairs.
std::vector<Row> const &rows();

/// Why the cell is not applicable; nullopt if it is.
std::optional<std::string> whyNotApplicable(Row const &Faults,
                                            Column const &Step);

/// Runs one cell and returns its violations, none if it passed.
std::vector<std::string> runCell(Row const &Faults, Column const &Step,
                                 Mutants const &ActiveMutants);

} // namespace laburnum::faults
