#pragma once

#include <LibCore/Time.h>
#include <LibModel/ConfigurationObject.h>
#include <LibModel/RunState.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace laburnum::faults {

/// What really happened, as the fakes saw it, and what the promises say about
/// it. Violations are kept as sentences.
class Oracle {
public:
  void violate(std::string What) { Violations_.push_back(std::move(What)); }
  std::vector<std::string> const &violations() const { return Violations_; }

  /// A call of this key must not be repeated.
  void mustRunOnce(std::string const &Key) { Once_.insert(Key); }
  /// A server began the work of one sending of a call.
  void ran(std::string const &Key, RequestId const &Sending);
  std::size_t runsOf(std::string const &Key) const;

  /// A caller was told of a failure of one sending.
  void toldFailure(RequestId const &Sending, RunState State);

  /// One life of an instance put an object in force.
  void inForce(InstanceId const &Life, ObjectName const &Name, Version At);

  /// An operator was told that a change was accepted, or that it was not.
  void toldAccepted(ObjectName const &Name, Version At, ChangeId const &Id);
  void toldUnchanged(ChangeId const &Id) { Unchanged_.insert(Id); }
  std::map<ObjectName, Version> const &accepted() const { return Accepted_; }

  /// Compares what operators were told with an audit trail as stored.
  void checkAudit(std::map<ChangeId, std::size_t> const &Entries);
  /// What can only be said when nothing is under way any more.
  void checkRuns();

private:
  std::vector<std::string> Violations_;
  std::set<std::string> Once_;
  std::map<std::string, std::size_t> Runs_;
  std::map<RequestId, std::size_t> RunsOfSending_;
  std::set<RequestId> ToldNotRun_;
  std::map<InstanceId, std::map<ObjectName, Version>> InForce_;
  std::map<ObjectName, Version> Accepted_;
  std::set<ChangeId> AcceptedChanges_;
  std::set<ChangeId> Unchanged_;
};

} // namespace laburnum::faults
