#pragma once

#include <LibCore/Time.h>
#include <LibModel/ConfigurationObject.h>
#include <LibModel/RunState.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace laburnum::faults {

/// Test oracle: records what the fakes observed and checks it against the
/// guarantees. Violations are recorded as sentences.
class Oracle {
public:
  void violate(std::string What) { Violations_.push_back(std::move(What)); }
  std::vector<std::string> const &violations() const { return Violations_; }

  /// The call with this key is not idempotent and must run at most once.
  void mustRunOnce(std::string const &Key) { Once_.insert(Key); }
  /// A server began to execute one submission of a call.
  void ran(std::string const &Key, RequestId const &Submission);
  std::size_t runsOf(std::string const &Key) const;

  /// A failure of one submission was reported to its caller.
  void onFailureReported(RequestId const &Submission, RunState State);

  /// An incarnation of an instance applied an object.
  void onObjectApplied(InstanceId const &Incarnation, ObjectName const &Name,
                       Version At);

  /// A change was reported to its operator as accepted, or as rejected.
  void onChangeAccepted(ObjectName const &Name, Version At, ChangeId const &Id);
  void onChangeRejected(ChangeId const &Id) { RejectedChanges_.insert(Id); }
  std::map<ObjectName, Version> const &accepted() const { return Accepted_; }

  /// Compares the answers to operators with the stored audit trail.
  void checkAudit(std::map<ChangeId, std::size_t> const &Entries);
  /// Checks that can only be made when no request is in progress.
  void checkRuns();

private:
  std::vector<std::string> Violations_;
  std::set<std::string> Once_;
  std::map<std::string, std::size_t> Runs_;
  std::map<RequestId, std::size_t> RunsPerSubmission_;
  std::set<RequestId> ReportedNotRun_;
  std::map<InstanceId, std::map<ObjectName, Version>> AppliedVersions_;
  std::map<ObjectName, Version> Accepted_;
  std::set<ChangeId> AcceptedChanges_;
  std::set<ChangeId> RejectedChanges_;
};

} // namespace laburnum::faults
