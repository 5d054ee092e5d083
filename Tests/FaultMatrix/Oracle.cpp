#include <FaultMatrix/Oracle.h>

#include <algorithm>

namespace laburnum::faults {

void Oracle::ran(std::string const &Key, RequestId const &Submission) {
  ++RunsPerSubmission_[Submission];
  if (++Runs_[Key] == 2 && Once_.contains(Key))
    violate("call " + Key + " ran twice");
}

std::size_t Oracle::runsOf(std::string const &Key) const {
  auto const Found = Runs_.find(Key);
  return Found == Runs_.end() ? 0 : Found->second;
}

void Oracle::onFailureReported(RequestId const &Submission, RunState State) {
  if (State == RunState::NotRun)
    ReportedNotRun_.insert(Submission);
}

void Oracle::onObjectApplied(InstanceId const &Incarnation,
                             ObjectName const &Name, Version At) {
  auto &Applied = AppliedVersions_[Incarnation][Name];
  if (At < Applied)
    violate("configuration " + Name.Name_ + " went back at " +
            Incarnation.text());
  Applied = At;
}

void Oracle::onChangeAccepted(ObjectName const &Name, Version At,
                              ChangeId const &Id) {
  auto &Highest = Accepted_[Name];
  Highest = std::max(Highest, At);
  AcceptedChanges_.insert(Id);
}

void Oracle::checkAudit(std::map<ChangeId, std::size_t> const &Entries) {
  std::map<std::string, std::size_t> EntriesPerIntent;
  for (auto const &[Id, Count] : Entries) {
    // Mutant::ForgetChangeId gives the same change several identifiers, which
    // differ after the '?'.
    auto const Intent = Id.text().substr(0, Id.text().find('?'));
    if ((EntriesPerIntent[Intent] += Count) > 1)
      violate("change " + Intent + " has several audit entries");
    if (RejectedChanges_.contains(Id) && !AcceptedChanges_.contains(Id))
      violate("change " + Id.text() + " was reported as rejected and was made");
  }
  for (auto const &Id : AcceptedChanges_)
    if (!Entries.contains(Id))
      violate("accepted change " + Id.text() + " has no audit entry");
}

void Oracle::checkRuns() {
  for (auto const &Submission : ReportedNotRun_)
    if (RunsPerSubmission_.contains(Submission))
      violate("submission " + Submission.text() +
              " was reported not_run and ran");
}

} // namespace laburnum::faults
