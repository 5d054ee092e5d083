#include "Report.h"

#include <fstream>
#include <iomanip>
#include <map>
#include <set>

namespace laburnum::faults {

namespace {

constexpr int RowWidth = 38;

enum class CellResult { Passed, Failed, KnownRed, NotApplicable };

struct CellReport {
  CellResult Result_ = CellResult::Passed;
  std::string Reason_;
};

char symbolOf(CellResult Item) {
  switch (Item) {
  case CellResult::Passed:
    return '.';
  case CellResult::Failed:
    return 'F';
  case CellResult::KnownRed:
    return 'R';
  case CellResult::NotApplicable:
    return '-';
  }
  return '?';
}

/// Reads the entries "fault-matrix ROW COLUMN" of the file.
std::set<std::string> knownRed(std::string const &File) {
  std::set<std::string> Known;
  std::ifstream In(File);
  for (std::string Line; std::getline(In, Line);)
    if (Line.starts_with("fault-matrix "))
      Known.insert(Line.substr(0, Line.find(':')));
  return Known;
}

bool isSelected(Selection const &Selected, Row const &Faults,
                Column const &Step) {
  return (Selected.Row_.empty() || Selected.Row_ == Faults.name()) &&
         (Selected.Column_.empty() || Selected.Column_ == Step.Name_);
}

CellReport reportCell(Row const &Faults, Column const &Step,
                      std::set<std::string> const &Known, Mutants const &Out) {
  if (auto const Why = whyNotApplicable(Faults, Step))
    return {CellResult::NotApplicable, *Why};
  auto const Violations = runCell(Faults, Step, Out);
  if (Violations.empty())
    return {};
  bool const IsKnown =
      Known.contains("fault-matrix " + Faults.name() + " " + Step.Name_);
  return {IsKnown ? CellResult::KnownRed : CellResult::Failed,
          Violations.front()};
}

void printHeading(std::ostream &Out) {
  std::size_t Number = 0;
  Out << "columns:\n";
  for (auto const &Step : columns())
    Out << std::setw(4) << ++Number << " " << Step.Name_ << "\n";
  Out << "cells: . passed, F failed, R known red, - not applicable\n\n";
}

using Reasons = std::map<std::string, std::vector<std::string>>;

void printReasons(std::string const &Title, Reasons const &Why,
                  std::ostream &Out) {
  for (auto const &[Reason, Cells] : Why) {
    Out << Title << ": " << Reason << " (" << Cells.size() << " cells)\n";
    if (Title == "not applicable")
      continue;
    for (auto const &Cell : Cells)
      Out << "    " << Cell << "\n";
  }
}

} // namespace

void printNames(std::ostream &Out) {
  for (auto const &Faults : rows())
    Out << "row " << Faults.name() << "\n";
  for (auto const &Step : columns()) {
    Out << "column " << Step.Name_ << " mutants";
    for (auto const Item : Step.Mutants_)
      Out << " " << nameOf(Item);
    Out << "\n";
  }
}

int reportMatrix(Selection const &Selected, std::ostream &Out) {
  auto const Known = knownRed(Selected.KnownRedFile_);
  Mutants ActiveMutants;
  if (Selected.Mutant_)
    ActiveMutants.insert(*Selected.Mutant_);
  std::map<CellResult, std::size_t> Counts;
  std::map<CellResult, Reasons> Why;
  printHeading(Out);
  for (auto const &Faults : rows()) {
    std::string Line;
    for (auto const &Step : columns()) {
      if (!isSelected(Selected, Faults, Step))
        continue;
      auto const Report = reportCell(Faults, Step, Known, ActiveMutants);
      ++Counts[Report.Result_];
      Line += std::string(" ") + symbolOf(Report.Result_);
      if (Report.Result_ != CellResult::Passed)
        Why[Report.Result_][Report.Reason_].push_back(Faults.name() + " " +
                                                      Step.Name_);
    }
    if (!Line.empty())
      Out << std::left << std::setw(RowWidth) << Faults.name() << Line
          << std::endl;
  }
  Out << "\n";
  printReasons("not applicable", Why[CellResult::NotApplicable], Out);
  printReasons("known red", Why[CellResult::KnownRed], Out);
  printReasons("failed", Why[CellResult::Failed], Out);
  Out << Counts[CellResult::KnownRed] << " known red, "
      << Counts[CellResult::NotApplicable] << " not applicable\n"
      << Counts[CellResult::Passed] << " passed, " << Counts[CellResult::Failed]
      << " failed\n";
  return Counts[CellResult::Failed] == 0 ? 0 : 1;
}

int reportMutants(Selection const &Selected, std::ostream &Out) {
  std::map<std::string, std::map<Mutant, std::size_t>> Caught;
  std::vector<std::string> UndetectedCells;
  std::size_t DetectedCells = 0;
  for (auto const &Faults : rows())
    for (auto const &Step : columns()) {
      if (!isSelected(Selected, Faults, Step) || whyNotApplicable(Faults, Step))
        continue;
      bool IsDetected = false;
      for (auto const Item : Step.Mutants_) {
        if (runCell(Faults, Step, {Item}).empty())
          continue;
        ++Caught[Step.Name_][Item];
        IsDetected = true;
        break;
      }
      if (IsDetected)
        ++DetectedCells;
      else
        UndetectedCells.push_back(Faults.name() + " " + Step.Name_);
    }
  for (auto const &Step : columns())
    for (auto const &[Item, Count] : Caught[Step.Name_])
      Out << Step.Name_ << " " << nameOf(Item) << " " << Count << "\n";
  for (auto const &Cell : UndetectedCells)
    Out << "not shown: " << Cell << "\n";
  Out << DetectedCells << " cells seen failing, " << UndetectedCells.size()
      << " not shown\n";
  return 0;
}

} // namespace laburnum::faults
