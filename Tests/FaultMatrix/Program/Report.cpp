#include "Report.h"

#include <fstream>
#include <iomanip>
#include <map>
#include <set>

namespace laburnum::faults {

namespace {

constexpr int RowWidth = 38;

enum class Verdict { Passed, Failed, KnownRed, NotApplicable };

struct CellReport {
  Verdict Verdict_ = Verdict::Passed;
  std::string Reason_;
};

char symbolOf(Verdict One) {
  switch (One) {
  case Verdict::Passed:
    return '.';
  case Verdict::Failed:
    return 'F';
  case Verdict::KnownRed:
    return 'R';
  case Verdict::NotApplicable:
    return '-';
  }
  return '?';
}

/// The entries "fault-matrix ROW COLUMN" of the file.
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
    return {Verdict::NotApplicable, *Why};
  auto const Violations = runCell(Faults, Step, Out);
  if (Violations.empty())
    return {};
  bool const IsKnown =
      Known.contains("fault-matrix " + Faults.name() + " " + Step.Name_);
  return {IsKnown ? Verdict::KnownRed : Verdict::Failed, Violations.front()};
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
    for (auto const One : Step.Mutants_)
      Out << " " << nameOf(One);
    Out << "\n";
  }
}

int reportMatrix(Selection const &Selected, std::ostream &Out) {
  auto const Known = knownRed(Selected.KnownRedFile_);
  Mutants Without;
  if (Selected.Mutant_)
    Without.insert(*Selected.Mutant_);
  std::map<Verdict, std::size_t> Counts;
  std::map<Verdict, Reasons> Why;
  printHeading(Out);
  for (auto const &Faults : rows()) {
    std::string Line;
    for (auto const &Step : columns()) {
      if (!isSelected(Selected, Faults, Step))
        continue;
      auto const Report = reportCell(Faults, Step, Known, Without);
      ++Counts[Report.Verdict_];
      Line += std::string(" ") + symbolOf(Report.Verdict_);
      if (Report.Verdict_ != Verdict::Passed)
        Why[Report.Verdict_][Report.Reason_].push_back(Faults.name() + " " +
                                                       Step.Name_);
    }
    if (!Line.empty())
      Out << std::left << std::setw(RowWidth) << Faults.name() << Line
          << std::endl;
  }
  Out << "\n";
  printReasons("not applicable", Why[Verdict::NotApplicable], Out);
  printReasons("known red", Why[Verdict::KnownRed], Out);
  printReasons("failed", Why[Verdict::Failed], Out);
  Out << Counts[Verdict::KnownRed] << " known red, "
      << Counts[Verdict::NotApplicable] << " not applicable\n"
      << Counts[Verdict::Passed] << " passed, " << Counts[Verdict::Failed]
      << " failed\n";
  return Counts[Verdict::Failed] == 0 ? 0 : 1;
}

int reportMutants(Selection const &Selected, std::ostream &Out) {
  std::map<std::string, std::map<Mutant, std::size_t>> Caught;
  std::vector<std::string> NotShown;
  std::size_t Shown = 0;
  for (auto const &Faults : rows())
    for (auto const &Step : columns()) {
      if (!isSelected(Selected, Faults, Step) || whyNotApplicable(Faults, Step))
        continue;
      bool IsShown = false;
      for (auto const One : Step.Mutants_) {
        if (runCell(Faults, Step, {One}).empty())
          continue;
        ++Caught[Step.Name_][One];
        IsShown = true;
        break;
      }
      if (IsShown)
        ++Shown;
      else
        NotShown.push_back(Faults.name() + " " + Step.Name_);
    }
  for (auto const &Step : columns())
    for (auto const &[One, Count] : Caught[Step.Name_])
      Out << Step.Name_ << " " << nameOf(One) << " " << Count << "\n";
  for (auto const &Cell : NotShown)
    Out << "not shown: " << Cell << "\n";
  Out << Shown << " cells seen failing, " << NotShown.size() << " not shown\n";
  return 0;
}

} // namespace laburnum::faults
