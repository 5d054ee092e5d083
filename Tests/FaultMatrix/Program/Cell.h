#pragma once

#include "Column.h"

#include <optional>
#include <string>
#include <vector>

namespace laburnum::faults {

/// One fault, or two at once.
struct Row {
  std::vector<Fault> Faults_;

  std::string name() const;
};

/// Every fault alone, then the pairs.
std::vector<Row> const &rows();

/// Why the cell cannot be; nothing when it can.
std::optional<std::string> whyNotApplicable(Row const &Faults,
                                            Column const &Step);

/// Runs one cell and yields what it violated, nothing when it passed.
std::vector<std::string> runCell(Row const &Faults, Column const &Step,
                                 Mutants const &Out);

} // namespace laburnum::faults
